#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>

namespace trefoilgate {

/**
 * Bytes to be written to a connection, in pieces that are released as they are
 * written.
 */
class WriteQueue
{
public:
  void Append(std::string_view aData);

  /** Bytes not yet written. */
  size_t Bytes() const { return mBytes; }
  /** The next bytes to write; they stay in place until Consume(). Empty if
   * there are none. */
  std::string_view Front();
  /** Removes bytes at the beginning of Front(). */
  void Consume(size_t aBytes);

private:
  void TakeNextPiece();

  std::string mFront;
  size_t mFrontWritten = 0;
  std::string mNext;
  /** What follows mNext; used by slow readers only. */
  std::list<std::string> mMore;
  size_t mBytes = 0;
};

} // namespace trefoilgate

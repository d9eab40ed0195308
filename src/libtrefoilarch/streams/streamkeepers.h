#pragma once

#include "streamorigin.h"

#include <string>
#include <vector>

namespace trefoilarch {

/**
 * Which entries keep the origin of a stream: the first ones by rendezvous
 * hashing over all entries' addresses, so that few streams get other keepers
 * when entries come and go. The entry at which a stream began knows it besides.
 */
class StreamKeepers
{
public:
  /** Other entries to which a record is sent. */
  static constexpr size_t kCopies = 2;

  /** Sets all entries' addresses. */
  void SetEntries(std::string aOwn, std::vector<std::string> aOthers);

  /** The other entries that are to keep the stream's origin. */
  std::vector<std::string> KeepersOf(StreamKey aStream) const
  {
    return Others(aStream, kCopies);
  }
  /** The other entries to ask. The entry at which the stream began is not
   * known, and may be ranked before one to which it sent the record. */
  std::vector<std::string> EntriesToAsk(StreamKey aStream) const
  {
    return Others(aStream, kCopies + 1);
  }

private:
  std::vector<std::string> Others(StreamKey aStream, size_t aCount) const;

  std::string mOwn;
  std::vector<std::string> mOthers;
  /** Hashes of mOthers. */
  std::vector<uint64_t> mHashes;
};

} // namespace trefoilarch

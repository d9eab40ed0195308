#pragma once

#include <cstddef>
#include <deque>
#include <utility>

namespace trefoilarch {

/**
 * The envelopes that wait for a stream which takes one write at a time. Not
 * thread-safe: its stream's lock covers it.
 */
template<typename Envelope>
class Outbox
{
public:
  /** Beyond this many bytes the other end has stopped reading. */
  static constexpr size_t kMostBytes = 64UL * 1024 * 1024;

  /** The next envelope to write, or null where none may be written now. */
  const Envelope* Add(Envelope aEnvelope)
  {
    mBytes += aEnvelope.ByteSizeLong();
    mItems.push_back(std::move(aEnvelope));
    return mItems.size() == 1 ? &mItems.front() : nullptr;
  }

  /** The write is done; the next envelope, or null. */
  const Envelope* Next()
  {
    mBytes -= mItems.front().ByteSizeLong();
    mItems.pop_front();
    return mItems.empty() ? nullptr : &mItems.front();
  }

  bool Overfull() const { return mBytes > kMostBytes; }

private:
  std::deque<Envelope> mItems;
  size_t mBytes = 0;
};

} // namespace trefoilarch

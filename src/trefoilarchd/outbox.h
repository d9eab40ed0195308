#pragma once

#include <cstddef>
#include <deque>
#include <utility>

namespace trefoilarch {

/**
 * A queue of envelopes for a stream that accepts one write at a time. Not
 * thread-safe; guarded by its stream's lock.
 */
template<typename Envelope>
class Outbox
{
public:
  /** Above this many bytes the peer is assumed to have stopped reading. */
  static constexpr size_t kMaxBytes = 64UL * 1024 * 1024;

  /** Queues an envelope. Returns it if it can be written now, else null. */
  const Envelope* Add(Envelope aEnvelope)
  {
    mBytes += aEnvelope.ByteSizeLong();
    mItems.push_back(std::move(aEnvelope));
    return mItems.size() == 1 ? &mItems.front() : nullptr;
  }

  /** Removes the written envelope. Returns the next one, or null. */
  const Envelope* Next()
  {
    mBytes -= mItems.front().ByteSizeLong();
    mItems.pop_front();
    return mItems.empty() ? nullptr : &mItems.front();
  }

  bool IsOverfull() const { return mBytes > kMaxBytes; }

private:
  std::deque<Envelope> mItems;
  size_t mBytes = 0;
};

} // namespace trefoilarch

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilgate {

/**
 * Splits a stream into complete server-sent events and tracks their ids, so
 * that an interrupted stream can continue at another upstream without a
 * missing, repeated or partial event.
 */
class EventTracker
{
public:
  /** Adds received data; returns the newly completed events. */
  std::string Add(const std::string& aData);

  /** The incomplete data left at the end of a run. */
  const std::string& Remainder() const { return mRemainder; }

  /** Prepares for the stream of another run: drops a partial event of the last
   * run, and skips events that were forwarded already. */
  void BeginNextRun();

  /** The id of the last forwarded event, or empty. */
  const std::string& LastEventId() const { return mLastId; }
  uint64_t Events() const { return mEventCount; }
  /** Whether the new run's stream skipped events, so that the streams don't fit
   * together. */
  bool HasGap() const { return mHasGap; }

private:
  std::string ProcessEvent(const std::string& aEvent);

  std::string mRemainder;
  std::string mLastId;
  std::optional<uint64_t> mLastNumber;
  uint64_t mEventCount = 0;
  bool mResuming = false;
  bool mHasGap = false;
};

} // namespace trefoilgate

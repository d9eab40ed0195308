#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace trefoilgate {

/**
 * Cuts a stream into whole server-sent events and follows their ids, so that
 * a stream that breaks off can go on at another upstream without a gap, a
 * repetition or half an event.
 */
class EventTracker
{
public:
  /** The events that are whole by now and have not been passed on before. */
  std::string Add(const std::string& aData);

  /** What was left over at the end of a run. */
  const std::string& Remainder() const { return mRest; }

  /** Another run goes on: half an event of the last one is dropped, events
   * that are known already are left out. */
  void BeginNextRun();

  /** The id of the last event passed on, or empty. */
  const std::string& LastEventId() const { return mLastId; }
  uint64_t Events() const { return mEvents; }
  /** An event of the new run left out others: the streams don't fit. */
  bool HasGap() const { return mGap; }

private:
  std::string TakeEvent(const std::string& aEvent);

  std::string mRest;
  std::string mLastId;
  std::optional<uint64_t> mLastNumber;
  uint64_t mEvents = 0;
  bool mJoining = false;
  bool mGap = false;
};

} // namespace trefoilgate

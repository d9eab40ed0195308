#pragma once

#include <cstdint>
#include <string>

namespace trefoilarch {

/** Complete events of an engine's stream. */
struct EventBatch
{
  std::string mData; /**< byte for byte as the engine sent it */
  uint32_t mTokens = 0;
};

/**
 * Splits an engine's response into complete server-sent events, so that the
 * forwarded data always ends between two events, and counts tokens: one for
 * each event that carries a delta.
 */
class EventSplitter
{
public:
  /** Adds data and returns the events that it completes. */
  EventBatch Add(const std::string& aData);

  /** Returns the bytes of the incomplete last event. */
  const std::string& Remainder() const { return mRemainder; }

  /** Whether the engine has sent `[DONE]`. */
  bool Done() const { return mDone; }
  /** The counts from the engine's usage field; 0 if it sent none. */
  uint32_t PromptTokens() const { return mPromptTokens; }
  uint32_t OutputTokens() const { return mOutputTokens; }

private:
  uint32_t ReadEvent(const std::string& aEvent);
  void ReadUsage(const std::string& aEvent);

  std::string mRemainder;
  bool mDone = false;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

} // namespace trefoilarch

#pragma once

#include <cstdint>
#include <string>

namespace trefoilarch {

/** Whole events of an engine's stream. */
struct EventBatch
{
  std::string mData; /**< byte for byte as the engine sent it */
  uint32_t mTokens = 0;
};

/**
 * Cuts an engine's answer into whole server-sent events, so that what is
 * passed on always ends between two events, and counts their tokens: one for
 * each event that carries a part of the answer.
 */
class EventSplitter
{
public:
  /** The events that are whole by now. */
  EventBatch Add(const std::string& aData);

  /** What was left over at the end of the stream. */
  std::string Rest() const { return mRest; }

  /** The engine has said that its answer is whole. */
  bool Done() const { return mDone; }
  /** From the engine's own count where it gives one, else 0. */
  uint32_t PromptTokens() const { return mPromptTokens; }
  uint32_t OutputTokens() const { return mOutputTokens; }

private:
  uint32_t ReadEvent(const std::string& aEvent);
  void ReadUsage(const std::string& aEvent);

  std::string mRest;
  bool mDone = false;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
};

} // namespace trefoilarch

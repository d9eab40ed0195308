#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace trefoilarch {

/**
 * Assembles a chat completion's event stream into the single JSON object that
 * a non-streaming caller receives, in the documented format.
 */
class AnswerAssembler
{
public:
  /** Adds the next bytes of the stream; events may be split across calls. */
  void Add(const std::string& aData);

  /** Whether the stream has ended with `[DONE]`. */
  bool IsComplete() const { return mDone; }

  std::string Json() const;

private:
  struct Choice
  {
    nlohmann::ordered_json mMessage = nlohmann::ordered_json::object();
    nlohmann::ordered_json mFinishReason;
    nlohmann::ordered_json mLogprobs;
  };

  void AddLine(const std::string& aLine);
  void AddEvent(const nlohmann::ordered_json& aEvent);
  static void AddDelta(Choice& aChoice, const nlohmann::ordered_json& aDelta);
  static void AddToolCalls(Choice& aChoice,
                           const nlohmann::ordered_json& aCalls);

  std::string mIncompleteLine;
  nlohmann::ordered_json mHeadFields = nlohmann::ordered_json::object();
  nlohmann::ordered_json mUsage;
  std::map<int64_t, Choice> mChoices;
  bool mDone = false;
};

} // namespace trefoilarch

#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace trefoilarch {

/**
 * Puts a chat completion's event stream together into the one JSON object
 * that a caller without streaming gets, in the published form.
 */
class AnswerAssembler
{
public:
  /** Takes whole events or parts of them, in order. */
  void Add(const std::string& aData);

  /** The stream has said that it is whole (`[DONE]`). */
  bool Whole() const { return mDone; }

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

  std::string mRest;
  nlohmann::ordered_json mHead = nlohmann::ordered_json::object();
  nlohmann::ordered_json mUsage;
  std::map<int64_t, Choice> mChoices;
  bool mDone = false;
};

} // namespace trefoilarch

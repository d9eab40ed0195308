#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace standin {

/** What an engine stand-in generates for one chat completion. */
struct AnswerText
{
  uint64_t mSeed = 0; /**< drawn from the model and the messages alone */
  std::vector<std::string> mTokens;
  bool mStopped = true; /**< false: max_tokens ended it */
  size_t mPromptTokens = 0;

  /** All tokens joined: the content of the whole answer. */
  std::string Content() const;
  /** "stop" or "length", as the published form has it. */
  std::string FinishReason() const;
  /** The id that the answer carries; the same for each run of a request. */
  std::string CompletionId() const;
};

/**
 * The one answer that a chat completion has, whichever engine runs it and
 * however often, so that a caller can check it byte for byte. A marker
 * `[[tokens=N]]` in a message sets the length; otherwise the length is drawn,
 * heavy-tailed, from the messages' hash.
 */
AnswerText
AnswerTo(const nlohmann::json& aBody);

/** Bytes that make one prompt token, by the usual rule of thumb. */
inline constexpr size_t kBytesPerToken = 4;

/** All messages' contents, joined in their order. */
std::string
PromptText(const nlohmann::json& aBody);

} // namespace standin

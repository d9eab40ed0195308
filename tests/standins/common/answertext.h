#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace standin {

/** The text that an engine stand-in generates for one chat completion. */
struct AnswerText
{
  uint64_t mSeed = 0; /**< hash of the model and the messages alone */
  std::vector<std::string> mTokens;
  bool mStopped = true; /**< false: max_tokens was reached */
  size_t mPromptTokens = 0;

  /** Returns all tokens joined: the content of the complete response. */
  std::string Content() const;
  /** Returns "stop" or "length", as in the OpenAI API. */
  std::string FinishReason() const;
  /** Returns the id of the response; the same for each run of a request. */
  std::string CompletionId() const;
};

/**
 * Returns the response text of a chat completion. It is the same on every
 * engine and in every run, so that a caller can check it byte for byte. A
 * marker `[[tokens=N]]` in a message sets the length; otherwise the length is
 * drawn from a heavy-tailed distribution seeded with the messages' hash.
 */
AnswerText
AnswerTo(const nlohmann::json& aBody);

/** Bytes per prompt token, by the usual rule of thumb. */
inline constexpr size_t kBytesPerToken = 4;

/** Returns the contents of all messages, joined in order. */
std::string
PromptText(const nlohmann::json& aBody);

} // namespace standin

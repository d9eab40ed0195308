#include "answertext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <string_view>
#include <xxhash.h>

namespace standin {

namespace {

constexpr std::string_view kLengthMarker = "[[tokens=";
constexpr size_t kMaxTokens = 8192;

/** Characters of one, two and three UTF-8 bytes: cuts inside one show. */
constexpr std::array<std::string_view, 20> kSyllables = {
  "ri", "ga",  "stā", "ci", "ja",  "pe",  "ron", "vil", "cie", "nš",
  "la", "ska", "ņ",   "do", "tai", "wan", "車",  "場",  "回",  "收"
};

size_t
MarkedLength(const std::string& aPrompt)
{
  const size_t position = aPrompt.rfind(kLengthMarker);
  if (position == std::string::npos) {
    return 0;
  }
  size_t length = 0;
  const char* first = aPrompt.data() + position + kLengthMarker.size();
  std::from_chars(first, aPrompt.data() + aPrompt.size(), length);
  return std::min(length, kMaxTokens);
}

size_t
DrawLength(std::mt19937_64& aGenerator)
{
  constexpr double kMedianLog = 3.7; // e^3.7 is about 40 tokens
  constexpr double kSpread = 0.8;
  std::lognormal_distribution<double> lengths(kMedianLog, kSpread);
  return std::clamp<size_t>(
    static_cast<size_t>(lengths(aGenerator)), 1, kMaxTokens);
}

std::string
DrawToken(std::mt19937_64& aGenerator, bool aFirst)
{
  std::string token = aFirst ? "" : " ";
  uint64_t bits = aGenerator();
  const size_t syllables = 1 + bits % 3;
  for (size_t i = 0; i < syllables; ++i) {
    bits >>= 8;
    token += kSyllables[bits % kSyllables.size()];
  }
  return token;
}

} // namespace

std::string
AnswerText::Content() const
{
  std::string content;
  for (const std::string& token : mTokens) {
    content += token;
  }
  return content;
}

std::string
AnswerText::FinishReason() const
{
  return mStopped ? "stop" : "length";
}

std::string
AnswerText::CompletionId() const
{
  return "chatcmpl-" + std::to_string(mSeed);
}

std::string
PromptText(const nlohmann::json& aBody)
{
  std::string prompt;
  for (const nlohmann::json& message :
       aBody.value("messages", nlohmann::json::array())) {
    const auto content = message.find("content");
    if (content != message.end() && content->is_string()) {
      prompt += content->get<std::string>();
      prompt += '\n';
    }
  }
  return prompt;
}

AnswerText
AnswerTo(const nlohmann::json& aBody)
{
  const std::string prompt = PromptText(aBody);
  const std::string seedText = aBody.value("model", "") + "\n" + prompt;
  AnswerText answer;
  answer.mSeed = XXH64(seedText.data(), seedText.size(), 0);
  answer.mPromptTokens = prompt.size() / kBytesPerToken + 1;
  std::mt19937_64 generator(answer.mSeed);
  size_t length = DrawLength(generator);
  if (const size_t marked = MarkedLength(prompt); marked != 0) {
    length = marked;
  }
  const size_t maxTokens = aBody.value("max_tokens", kMaxTokens);
  answer.mStopped = length <= maxTokens;
  length = std::min(length, maxTokens);
  answer.mTokens.reserve(length);
  for (size_t i = 0; i < length; ++i) {
    answer.mTokens.push_back(DrawToken(generator, i == 0));
  }
  return answer;
}

} // namespace standin

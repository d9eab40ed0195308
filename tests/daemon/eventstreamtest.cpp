#include "answerassembler.h"
#include "eventsplitter.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace trefoilarch;

namespace {

std::string
Event(const std::string& aContent)
{
  const nlohmann::json delta = { { "content", aContent } };
  return "data: " +
         nlohmann::json{
           { "id", "c1" },
           { "choices", { { { "index", 0 }, { "delta", delta } } } }
         }.dump() +
         "\n\n";
}

/** Splits a stream into pieces at random positions. */
std::vector<std::string>
Pieces(const std::string& aStream)
{
  std::vector<std::string> pieces;
  for (size_t begin = 0; begin < aStream.size();) {
    const size_t length = *rc::gen::inRange<size_t>(1, 40);
    pieces.push_back(aStream.substr(begin, length));
    begin += length;
  }
  return pieces;
}

} // namespace

Test(eventsplitter, keeps_every_byte_and_splits_only_between_events)
{
  const bool holds = rc::check([] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
    std::string stream;
    for (const std::string& word : words) {
      stream += Event(word);
    }
    stream += "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
              "\"completion_tokens\":9}}\n\ndata: [DONE]\n\n";
    EventSplitter splitter;
    std::string passed;
    uint32_t tokens = 0;
    for (const std::string& piece : Pieces(stream)) {
      const EventBatch batch = splitter.Add(piece);
      RC_ASSERT((batch.mData.empty() || batch.mData.ends_with("\n\n")));
      passed += batch.mData;
      tokens += batch.mTokens;
    }
    RC_ASSERT(passed == stream);
    RC_ASSERT(tokens == words.size());
    RC_ASSERT(splitter.Done());
    RC_ASSERT(splitter.PromptTokens() == 5U);
    RC_ASSERT(splitter.OutputTokens() == 9U);
  });
  cr_assert(holds);
}

Test(eventsplitter, is_not_done_without_the_done_event)
{
  EventSplitter splitter;
  splitter.Add(Event("a") + "data: [DO");
  cr_assert(!splitter.Done());
  cr_assert(splitter.Remainder() == "data: [DO");
}

Test(answerassembler, assembles_the_text)
{
  const bool holds = rc::check([] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
    std::string stream;
    std::string text;
    for (const std::string& word : words) {
      stream += Event(word);
      text += word;
    }
    stream += Event("!") + "data: [DONE]\n\n";
    AnswerAssembler assembler;
    for (const std::string& piece : Pieces(stream)) {
      assembler.Add(piece);
    }
    RC_ASSERT(assembler.IsComplete());
    const auto answer = nlohmann::json::parse(assembler.Json());
    RC_ASSERT(answer["object"] == "chat.completion");
    RC_ASSERT(answer["choices"][0]["message"]["content"] == text + "!");
  });
  cr_assert(holds);
}

Test(answerassembler, joins_tool_calls_by_index)
{
  AnswerAssembler assembler;
  assembler.Add(
    R"(data: {"choices":[{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"t","function":{"name":"book","arguments":"{\"a\""}}]}}]})"
    "\n\n"
    R"(data: {"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]})"
    "\n\ndata: [DONE]\n\n");
  const auto choice = nlohmann::json::parse(assembler.Json())["choices"][0];
  const auto call = choice["message"]["tool_calls"][0];
  cr_assert(call["function"]["name"] == "book");
  cr_assert(call["function"]["arguments"] == "{\"a\":1}");
  cr_assert(choice["finish_reason"] == "tool_calls");
}

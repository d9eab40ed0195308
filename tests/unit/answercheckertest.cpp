#include "trefoilload/answerchecker.h"
#include "trefoilload/requestbuilder.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace trefoilload;
using nlohmann::json;
using trefoilio::CallEnd;

namespace {

TraceRequest
StreamedRequest(size_t aTokens)
{
  TraceRequest request;
  request.mWorkspace = "riga-agents";
  request.mClass = "mid-call";
  request.mModel = "base";
  request.mOutputTokens = aTokens;
  request.mStream = true;
  return request;
}

trefoilio::HttpRequest
BuildSentRequest(const TraceRequest& aRequest, const std::string& aMark)
{
  return BuildRequest(aRequest, aMark, "http://127.0.0.1:1", {});
}

/** The streamed body with which an engine answers the request. */
std::string
StreamedBody(const trefoilio::HttpRequest& aSent)
{
  const standin::CompletionText text(
    standin::AnswerTo(json::parse(aSent.mBody)), "base");
  std::string body;
  for (size_t position = 0; position < text.Tokens(); ++position) {
    body += standin::EventOf(text.TokenData(position));
  }
  return body + standin::EventOf(text.EndData()) +
         standin::EventOf(standin::kDoneData);
}

CallOutcome
CheckAnswer(const TraceRequest& aRequest,
            const trefoilio::HttpRequest& aSent,
            const std::string& aBody,
            CallEnd aEnd = CallEnd::Complete)
{
  AnswerChecker checker(aRequest, aSent);
  checker.OnHead(200, {});
  const size_t half = aBody.size() / 2;
  checker.OnData(aBody.substr(0, half), 1);
  checker.OnData(aBody.substr(half), 2);
  checker.OnEnd(aEnd, 3);
  return checker.Record().mOutcome;
}

} // namespace

Test(answerchecker, only_the_complete_answer_is_complete)
{
  const bool holds = rc::check([] {
    const TraceRequest request =
      StreamedRequest(*rc::gen::inRange<size_t>(1, 30));
    const auto sent = BuildSentRequest(request, "a");
    const std::string body = StreamedBody(sent);
    RC_ASSERT(CheckAnswer(request, sent, body) == CallOutcome::Complete);
    const auto cut = *rc::gen::inRange<size_t>(0, body.size());
    RC_ASSERT(CheckAnswer(request, sent, body.substr(0, cut)) !=
              CallOutcome::Complete);
    std::string changed = body;
    const auto position = *rc::gen::inRange<size_t>(0, body.size());
    changed[position] = static_cast<char>(changed[position] + 1);
    RC_ASSERT(CheckAnswer(request, sent, changed) != CallOutcome::Complete);
  });
  cr_assert(holds);
}

Test(answerchecker, answer_to_another_request_is_wrong)
{
  const TraceRequest request = StreamedRequest(5);
  const auto sent = BuildSentRequest(request, "a");
  const std::string crossed = StreamedBody(BuildSentRequest(request, "b"));
  cr_assert(CheckAnswer(request, sent, crossed) == CallOutcome::Wrong);
  cr_assert(CheckAnswer(request, sent, StreamedBody(sent) + crossed) ==
            CallOutcome::Wrong);
}

Test(answerchecker, comments_are_skipped_and_a_broken_end_is_seen)
{
  const TraceRequest request = StreamedRequest(5);
  const auto sent = BuildSentRequest(request, "a");
  const std::string body = ": keep-alive\n\n" + StreamedBody(sent);
  cr_assert(CheckAnswer(request, sent, body) == CallOutcome::Complete);
  cr_assert(CheckAnswer(request, sent, body, CallEnd::Broken) !=
            CallOutcome::Complete);
}

Test(answerchecker, an_error_event_is_a_reported_failure)
{
  const TraceRequest request = StreamedRequest(50);
  const auto sent = BuildSentRequest(request, "a");
  const std::string whole = StreamedBody(sent);
  const std::string start = whole.substr(0, whole.find("\n\n") + 2);
  const std::string error = "event: error\ndata: {\"error\":{\"kind\":"
                            "\"upstream_failed\",\"ran\":\"maybe\"}}\n\n";
  cr_assert(CheckAnswer(request, sent, start + error, CallEnd::Broken) ==
            CallOutcome::Failed);
  cr_assert(CheckAnswer(request, sent, start, CallEnd::Broken) ==
            CallOutcome::Unanswered);
}

Test(answerchecker, a_body_fails_only_with_an_error_and_truncation)
{
  TraceRequest request = StreamedRequest(50);
  request.mStream = false;
  const auto sent = BuildSentRequest(request, "a");
  const std::string error = "  {\"error\":{\"kind\":\"upstream_failed\","
                            "\"ran\":\"maybe\"}}";
  cr_assert(CheckAnswer(request, sent, error, CallEnd::Broken) ==
            CallOutcome::Failed);
  cr_assert(CheckAnswer(request, sent, error) == CallOutcome::Wrong);
  cr_assert(CheckAnswer(request, sent, "  ", CallEnd::Broken) ==
            CallOutcome::Unanswered);
}

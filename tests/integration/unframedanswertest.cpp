#include "fleet.h"
#include "rawcaller.h"

#include <criterion/criterion.h>

#include <csignal>
#include <string>

using namespace integration;
using nlohmann::json;

namespace {

constexpr int kReadTimeoutMs = 3000;

RawAnswer
AskService(const Fleet& aFleet, const std::string& aVersion)
{
  const RawCaller caller(aFleet.EntryUrl());
  caller.Send("GET /v1/services/booking/seats/7 " + aVersion +
              "\r\nHost: entry\r\nX-Trefoilarch-Workspace: agents\r\n"
              "Authorization: Bearer secret-of-agents\r\n\r\n");
  return caller.ReadAnswer("", kReadTimeoutMs);
}

/** Expects a body whose only end is that of its connection. */
void
ExpectCloseDelimited(const RawAnswer& aAnswer, const char* aDescription)
{
  const auto hasText = [&](const std::string& aText) {
    return aAnswer.mText.find(aText) != std::string::npos;
  };
  cr_expect(hasText("Connection: close\r\n"), "%s", aDescription);
  cr_expect(!hasText("Content-Length:"), "%s", aDescription);
  cr_expect(!hasText("Transfer-Encoding:"), "%s", aDescription);
  cr_expect(aAnswer.mEnd == ConnectionEnd::Closed, "%s", aDescription);
}

std::string
BodyOf(const RawAnswer& aAnswer)
{
  const size_t end = aAnswer.mText.find("\r\n\r\n");
  return end == std::string::npos ? "" : aAnswer.mText.substr(end + 4);
}

} // namespace

Test(unframedanswer, a_whole_answer_of_a_service_ends_with_its_connection)
{
  Fleet fleet({ .mEngines = 0, .mServices = 1 });
  fleet.Upstream().Control({ { "unframed", true } });
  for (const char* version : { "HTTP/1.1", "HTTP/1.0" }) {
    const RawAnswer answer = AskService(fleet, version);
    cr_expect(answer.mText.find(" 200 ") != std::string::npos);
    ExpectCloseDelimited(answer, version);
    cr_expect(json::accept(BodyOf(answer)), "%s", answer.mText.c_str());
  }
}

Test(unframedanswer, a_cut_answer_of_a_service_is_not_framed_as_complete)
{
  Fleet fleet({ .mEngines = 0, .mServices = 1 });
  fleet.Upstream().Control({ { "unframed", true }, { "half", true } });
  for (const char* version : { "HTTP/1.1", "HTTP/1.0" }) {
    const RawAnswer answer = AskService(fleet, version);
    ExpectCloseDelimited(answer, version);
    cr_expect(!json::accept(BodyOf(answer)));
  }
}

Test(unframedanswer, an_error_of_a_service_ends_with_its_connection)
{
  Fleet fleet({ .mEngines = 0, .mServices = 1 });
  fleet.Upstream().Control({ { "unframed", true }, { "fail", 500 } });
  const RawAnswer answer = AskService(fleet, "HTTP/1.1");
  cr_expect(answer.mText.find(" 500 ") != std::string::npos);
  ExpectCloseDelimited(answer, "error");
}

Test(unframedanswer, a_framed_answer_keeps_its_length)
{
  Fleet fleet({ .mEngines = 0, .mServices = 1 });
  const RawAnswer answer = AskService(fleet, "HTTP/1.0");
  cr_expect(answer.mText.find("Content-Length:") != std::string::npos);
}

Test(unframedanswer, a_killed_entry_cuts_an_http_1_0_stream_short)
{
  Fleet fleet({ .mEngines = 1 });
  const std::string body =
    R"({"model":"base","stream":true,"messages":[{"role":"user",)"
    R"("content":"[[tokens=3000]]"}]})";
  const RawCaller caller(fleet.EntryUrl());
  caller.Send("POST /v1/chat/completions HTTP/1.0\r\nHost: entry\r\n"
              "X-Trefoilarch-Workspace: agents\r\n"
              "Authorization: Bearer secret-of-agents\r\n"
              "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  const RawAnswer begun = caller.ReadAnswer("\n\n", kReadTimeoutMs);
  cr_assert(
    begun.mText.find("data:") != std::string::npos, "%s", begun.mText.c_str());
  fleet.Entry().Signal(SIGKILL);
  cr_expect(caller.ReadAnswer("", kReadTimeoutMs).mEnd == ConnectionEnd::Reset);
}

#include "brokenanswers.h"

namespace integration {

namespace {

using namespace std::string_literals;

constexpr const char* kBody = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";
constexpr const char* kLength = "Content-Length: 40";
constexpr const char* kOk = "HTTP/1.1 200 OK";
constexpr const char* kChunks =
  "28\r\nbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n0\r\n\r\n";

std::string
AnswerOf(const std::string& aStatusLine,
         const std::string& aFields,
         const std::string& aFraming,
         const std::string& aBody)
{
  std::string answer = aStatusLine;
  answer += "\r\n";
  answer += aFields;
  answer += aFraming;
  answer += "\r\n\r\n";
  return answer + aBody;
}

} // namespace

std::vector<BrokenAnswer>
BrokenAnswers(const std::string& aFields)
{
  std::vector<BrokenAnswer> answers;
  for (const std::string line : { "HTTP/1.1 000 None",
                                  "HTTP/1.1 001 None",
                                  "HTTP/1.1 042 None",
                                  "HTTP/1.1 099 None",
                                  "HTTP/1.1 600 None",
                                  "HTTP/1.1 999 None",
                                  "HTTP/1.1 20 OK",
                                  "HTTP/1.1 2000 OK",
                                  "HTTP/1.1 2x0 OK",
                                  "HTTP/1.1  200 OK",
                                  "HTTP/2.0 200 OK",
                                  "HTTP/1.1",
                                  "ICY 200 OK",
                                  "200 OK" }) {
    answers.push_back({ line, AnswerOf(line, aFields, kLength, kBody) });
  }
  for (const std::string& line : { "X Bad: 1"s,
                                   "X-Bad : 1"s,
                                   "X\tBad: 1"s,
                                   "X\x01"
                                   "Bad: 1"s,
                                   "X\x7f"
                                   "Bad: 1"s,
                                   "X\0Bad: 1"s,
                                   "X(Bad: 1"s,
                                   "X\xe9"
                                   "Bad: 1"s,
                                   ": 1"s,
                                   "X-Bad"s,
                                   "X-Bad: a\x01"
                                   "b"s,
                                   "X-Bad: a\x7f"
                                   "b"s,
                                   "X-Bad: a\0b"s,
                                   "X-Bad: a\rb"s }) {
    answers.push_back(
      { "the field " + line,
        AnswerOf(kOk, aFields + line + "\r\n", kLength, kBody) });
  }
  for (const std::string length :
       { "Content-Length: 0x28",
         "Content-Length: 4 0",
         "Content-Length: +40",
         "Content-Length: -40",
         "Content-Length: 40x",
         "Content-Length: 40, 3",
         "Content-Length: 99999999999999999999",
         "Content-Length: ",
         "Content-Length: 40\r\nContent-Length: 3",
         "Content-Length: 3\r\nContent-Length: 40" }) {
    answers.push_back({ length, AnswerOf(kOk, aFields, length, kBody) });
  }
  for (const std::string coding :
       { "Transfer-Encoding: identity",
         "Transfer-Encoding: gzip",
         "Transfer-Encoding: gzip, chunked",
         "Transfer-Encoding: chunked, gzip",
         "Transfer-Encoding: chunked, chunked",
         "Transfer-Encoding: xchunked",
         "Transfer-Encoding: chunked\r\nContent-Length: 40",
         "Content-Length: 40\r\nTransfer-Encoding: chunked" }) {
    answers.push_back({ coding, AnswerOf(kOk, aFields, coding, kChunks) });
  }
  const std::string chunked =
    "HTTP/1.1 200 OK\r\n" + aFields + "Transfer-Encoding: chunked\r\n\r\n";
  answers.push_back({ "a chunk size of letters", chunked + "zz\r\n" + kBody });
  answers.push_back(
    { "a chunk without its end", chunked + "28\r\n" + kBody + "bb0\r\n\r\n" });
  return answers;
}

std::vector<EndlessAnswer>
EndlessAnswers(const std::string& aFields)
{
  const std::string status = "HTTP/1.1 200 OK\r\n" + aFields;
  const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
  return {
    { "a status line", "HTTP/1.1 200 ", "x" },
    { "a head", status + "X-Long: ", "x" },
    { "fields", status, "X-Many: 0\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "a chunk size", chunked, "0" },
    { "a chunk extension", chunked + "1;x=", "x" },
    { "trailers", chunked + "0\r\n", "X: 0\r\n" },
    { "chunks", chunked, "1\r\nb\r\n" },
    { "a chunk", chunked + "ffffffffffff\r\n", "b" },
    { "events", chunked, "14\r\ndata: {\"delta\": 1}\n\n\r\n" },
    { "an event", chunked + "5\r\ndata:\r\n", "1\r\nb\r\n" },
    { "a body with a length",
      status + "Content-Length: 1000000000000\r\n\r\n",
      "b" },
    { "a body without a length", status + "Connection: close\r\n\r\n", "b" },
  };
}

} // namespace integration

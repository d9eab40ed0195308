#include "libtrefoilio/callrunner.h"

#include "rawsocket.h"

#include "libtrefoilio/listensocket.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <future>
#include <optional>
#include <thread>

using namespace trefoilio;

namespace {

/** Accepts connections one by one; the test acts as the upstream. */
class Upstream
{
public:
  Upstream()
    : mListener("127.0.0.1", 0)
  {
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mListener.Port()) + "/x";
  }

  /** Accepts the next connection; returns -1 on timeout. */
  int Accept(int aMillis = 20000) const
  {
    pollfd entry{ .fd = mListener.Socket(), .events = POLLIN, .revents = 0 };
    if (poll(&entry, 1, aMillis) <= 0) {
      return -1;
    }
    return accept(mListener.Socket(), nullptr, nullptr);
  }

private:
  ListenSocket mListener;
};

std::string
ReadRequest(int aSocket, std::string_view aTerminator)
{
  std::string text;
  char block[4096];
  while (text.find(aTerminator) == std::string::npos) {
    const ssize_t count = recv(aSocket, block, sizeof block, 0);
    if (count <= 0) {
      break;
    }
    text.append(block, static_cast<size_t>(count));
  }
  return text;
}

void
Write(int aSocket, std::string_view aText)
{
  send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
}

/** Starts a call and returns a future for its end. */
std::future<CallEnd>
StartCall(CallRunner& aRunner,
          const std::string& aMethod,
          const std::string& aUrl)
{
  auto ended = std::make_shared<std::promise<CallEnd>>();
  std::future<CallEnd> future = ended->get_future();
  aRunner.Start({ .mMethod = aMethod,
                  .mTarget = aUrl,
                  .mHeaders = { { "X-Good", "1" }, { "X-Bad", "1\r\nY: 2" } },
                  .mBody = aMethod == "POST" ? "{end}" : "" },
                { .mOnEnd = [ended](CallEnd aTerminator) {
                  ended->set_value(aTerminator);
                } });
  return future;
}

/** Waits for the call to end; returns nothing if it hangs. */
std::optional<CallEnd>
WaitForEnd(std::future<CallEnd>& aEnded)
{
  if (aEnded.wait_for(std::chrono::seconds(20)) != std::future_status::ready) {
    return std::nullopt;
  }
  return aEnded.get();
}

} // namespace

Test(callrunner, refused_connection_is_never_sent)
{
  std::string url;
  {
    const Upstream gone;
    url = gone.Url();
  }
  CallRunner runner({});
  auto ended = StartCall(runner, "POST", url);
  cr_assert(WaitForEnd(ended) == CallEnd::NeverSent);
}

Test(callrunner, connection_is_reused_but_nothing_is_sent_twice)
{
  for (const std::string method : { "POST", "GET", "DELETE" }) {
    const std::string_view end = method == "POST" ? "{end}" : "\r\n\r\n";
    const Upstream upstream;
    CallRunner runner({});
    auto first = StartCall(runner, method, upstream.Url());
    const int socket = upstream.Accept();
    const std::string request = ReadRequest(socket, end);
    cr_assert(request.starts_with(method + " /x HTTP/1.1\r\n"));
    cr_assert(request.find("X-Good: 1\r\n") != std::string::npos);
    cr_assert(request.find("Y: 2") == std::string::npos);
    Write(socket, "HTTP/1.1 204 None\r\n\r\n");
    cr_assert(WaitForEnd(first) == CallEnd::Complete);

    auto second = StartCall(runner, method, upstream.Url());
    cr_assert(ReadRequest(socket, end) == request);
    close(socket);
    cr_assert(WaitForEnd(second) == CallEnd::Broken);
    const int again = upstream.Accept(300);
    cr_assert(again == -1 || ReadRequest(again, end).empty());
  }
}

Test(callrunner, silent_call_is_cancelled_and_its_connection_closed)
{
  const Upstream upstream;
  CallRunner runner({});
  std::atomic<int> ends = 0;
  const uint64_t call = runner.Start(
    { .mMethod = "POST", .mTarget = upstream.Url(), .mBody = "{end}" },
    { .mOnEnd = [&](CallEnd) { ++ends; } });
  const int socket = upstream.Accept();
  ReadRequest(socket, "{end}");
  runner.Cancel(call);
  char byte = 0;
  cr_assert(recv(socket, &byte, 1, 0) <= 0);
  close(socket);
  cr_assert(ends == 0);
}

Test(callrunner, truncated_answer_is_broken)
{
  const Upstream upstream;
  CallRunner runner({});
  for (const std::string_view answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         "HTTP/1.1 200 OK\r\n",
         "HTTP/1.1 100 Continue\r\n\r\n",
         "" }) {
    auto ended = StartCall(runner, "POST", upstream.Url());
    const int socket = upstream.Accept();
    ReadRequest(socket, "{end}");
    Write(socket, answer);
    close(socket);
    cr_assert(WaitForEnd(ended) == CallEnd::Broken);
  }
}

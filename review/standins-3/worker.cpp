#include "net.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

/**
 * A worker, by its id and port. The path says what it answers, after the
 * route's prefix: `stream/EVENTS/GAP` events without a length, `plain/SIZE/GAP`
 * a body without a length in two halves with a pause between, `whole/SIZE/GAP`
 * a body with a length after that time, `paced/SIZE/GAP` the same in pieces of
 * 20 KB with that time between. It prints `ran ID` when it begins, and
 * `ended ID` when it has written the whole answer.
 */
namespace {

using namespace review;

constexpr int kPieceBytes = 20000;

std::mutex sOutput;

void
Print(const std::string& aText)
{
  const std::lock_guard lock(sOutput);
  std::cout << aText << std::endl;
}

std::string
Head(const std::string& aStatus, const std::string& aId)
{
  return "HTTP/1.1 " + aStatus + "\r\nX-Request-Id: " + aId +
         "\r\nX-Response-Seal: seal-of-" + aId + "\r\n";
}

/** Returns false to close the connection. */
bool
Serve(const Socket& aCaller, const Message& aRequest, const std::string& aOwn)
{
  const std::string id = aRequest.Field("X-Request-Id");
  if (aRequest.Field("X-Expect-Instance") != aOwn) {
    return aCaller.Send(
      "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id +
      "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
  std::istringstream path(aRequest.Second());
  std::string skipped;
  std::string kind;
  std::string count;
  std::string gap;
  std::getline(path, skipped, '/');
  std::getline(path, skipped, '/');
  std::getline(path, kind, '/');
  std::getline(path, count, '/');
  std::getline(path, gap, '/');
  const int number = std::stoi(count);
  const int gapMs = std::stoi(gap);
  Print("ran " + id);
  bool keeps = false;
  if (kind == "stream") {
    bool sent =
      aCaller.Send(Head("200 OK", id) + "Content-Type: text/event-stream\r\n"
                                        "Connection: close\r\n\r\n");
    for (int event = 1; event <= number && sent; ++event) {
      SleepMs(gapMs);
      const std::string text = std::to_string(event);
      sent = aCaller.Send("id: " + text + "\ndata: event " + text + "\n\n");
    }
    keeps = false;
  } else if (kind == "plain") {
    const std::string half(static_cast<size_t>(number) / 2, 'b');
    aCaller.Send(Head("200 OK", id) + "Connection: close\r\n\r\n" + half);
    SleepMs(gapMs);
    aCaller.Send(half);
  } else if (kind == "paced") {
    keeps = aCaller.Send(Head("200 OK", id) + "Content-Length: " + count +
                         "\r\n\r\n");
    for (int left = number; left > 0 && keeps; left -= kPieceBytes) {
      SleepMs(gapMs);
      keeps = aCaller.Send(
        std::string(static_cast<size_t>(std::min(left, kPieceBytes)), 'b'));
    }
  } else {
    SleepMs(gapMs);
    keeps =
      aCaller.Send(Head("200 OK", id) + "Content-Length: " + count +
                   "\r\n\r\n" + std::string(static_cast<size_t>(number), 'b'));
  }
  Print("ended " + id);
  return keeps;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount < 3) {
    return 2;
  }
  const std::string own = aArguments[1];
  const Server server(
    [own](const Socket& aCaller, const Message& aRequest) {
      return Serve(aCaller, aRequest, own);
    },
    std::atoi(aArguments[2]));
  for (;;) {
    SleepMs(60000);
  }
}

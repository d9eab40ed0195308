#include "libtrefoilgate/clientconnection.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace trefoilgate;
using trefoilarch::Millis;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

const std::vector<std::string> kFramings = { "Content-Length: 5\r\n",
                                             "Content-Length: 0\r\n",
                                             "Transfer-Encoding: chunked\r\n",
                                             "Connection: close\r\n" };

/** Less than the kernel takes of a request that the server doesn't read. */
constexpr int kServerBufferBytes = 4096;

/** What a call ended with. */
struct CallResult
{
  bool mHead = false;
  bool mEnd = false;
  bool mBroken = false;
  size_t mBodyBytes = 0;
};

/** A connection, and the server's side of it. */
class Pair
{
public:
  Pair()
    : mAcceptor(mLoop,
                Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mClient(std::make_shared<ClientConnection>(mLoop))
    , mServer(mServerLoop)
  {
    mAcceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(kServerBufferBytes));
    mClient->Connect(mAcceptor.local_endpoint(),
                     Millis(1000),
                     {},
                     [](bool aConnected) { cr_assert(aConnected); });
    mServer = mAcceptor.accept(mServerLoop);
    mLoop.poll();
  }
  ~Pair() { mClient->Close(); }

  /** Sends a request, and lets the server write its answer. Ends with the call,
   * or after aWrite, if that fails. */
  CallResult Call(const std::function<void(Tcp::socket&)>& aWrite)
  {
    CallResult result;
    Send("", result);
    std::thread server([&] { Serve(aWrite); });
    AwaitEnd(result);
    server.join();
    return result;
  }

  /** The same with a body, of which the kernel takes all. The client reads
   * nothing before the server has done. */
  CallResult CallAfter(const std::string& aBody,
                       const std::function<void(Tcp::socket&)>& aWrite)
  {
    CallResult result;
    Send(aBody, result);
    mLoop.restart();
    mLoop.poll();
    Serve(aWrite);
    AwaitEnd(result);
    return result;
  }

private:
  void Send(const std::string& aBody, CallResult& aResult)
  {
    const auto handlers = CallHandlers{
      .mOnHead = [&](const UpstreamAnswer&) { aResult.mHead = true; },
      .mOnData =
        [&](const std::string& aData) { aResult.mBodyBytes += aData.size(); },
      .mOnEnd = [&] { aResult.mEnd = true; },
      .mOnBroken = [&](const std::string&) { aResult.mBroken = true; }
    };
    mClient->Send({ .mHead = "GET / HTTP/1.1\r\n\r\n",
                    .mBody = std::make_shared<const std::string>(aBody) },
                  handlers);
  }

  void Serve(const std::function<void(Tcp::socket&)>& aWrite)
  {
    boost::asio::streambuf request;
    boost::asio::read_until(mServer, request, "\r\n\r\n");
    aWrite(mServer);
  }

  void AwaitEnd(const CallResult& aResult)
  {
    while (!aResult.mEnd && !aResult.mBroken) {
      mLoop.restart();
      if (mLoop.run_one_for(std::chrono::seconds(5)) == 0) {
        break;
      }
    }
  }

  boost::asio::io_context mLoop;
  boost::asio::io_context mServerLoop;
  Tcp::acceptor mAcceptor;
  std::shared_ptr<ClientConnection> mClient;
  Tcp::socket mServer;
};

void
WriteAll(Tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code ignored;
  boost::asio::write(aSocket, boost::asio::buffer(aText), ignored);
}

/** Writes the same text until the peer closes; returns the bytes written, or
 * nothing if it still reads after aMost. */
std::optional<size_t>
WriteUntilClosed(Tcp::socket& aSocket, const std::string& aText, size_t aMost)
{
  size_t written = 0;
  boost::system::error_code error;
  while (written < aMost) {
    written += boost::asio::write(aSocket, boost::asio::buffer(aText), error);
    if (error) {
      return written;
    }
  }
  return std::nullopt;
}

} // namespace

// Heads that stop in the middle were framed as complete answers elsewhere.
Test(clientconnection, a_head_that_is_cut_off_is_no_answer)
{
  for (const std::string& framing : kFramings) {
    const std::string head =
      "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n" + framing + "\r\n";
    for (const std::string before : { "", "HTTP/1.1 100 Continue\r\n\r\n" }) {
      for (const bool kept : { false, true }) {
        for (size_t size = 0; size < head.size(); ++size) {
          Pair pair;
          if (kept) {
            cr_assert(
              pair.Call([](Tcp::socket& aSocket) { WriteAll(aSocket, kWhole); })
                .mEnd);
          }
          const CallResult result = pair.Call([&](Tcp::socket& aSocket) {
            WriteAll(aSocket, before + head.substr(0, size));
            aSocket.close();
          });
          cr_expect(result.mBroken && !result.mHead && !result.mEnd,
                    "%zu bytes of %s",
                    size,
                    framing.c_str());
        }
      }
    }
  }
}

// Framing without an end was kept in memory until the request's deadline.
Test(clientconnection, framing_without_an_end_is_no_answer)
{
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const std::vector<std::string> begins = {
    "HTTP/1.1 200 OK\r\nX-Long: ",
    "HTTP/1.1 100 Continue\r\nX-Long: ",
    head + "\r\n",
    head + "\r\n1;x=",
    head + "\r\n0\r\nX-Long: ",
  };
  constexpr size_t kMostBytes = 64 << 20;
  for (const std::string& begin : begins) {
    for (const std::string more : { "0", "0\r\nX: 0" }) {
      Pair pair;
      std::optional<size_t> written;
      const CallResult result = pair.Call([&](Tcp::socket& aSocket) {
        WriteAll(aSocket, begin);
        std::string block;
        while (block.size() < 65536) {
          block += more;
        }
        written = WriteUntilClosed(aSocket, block, kMostBytes);
      });
      cr_expect(result.mBroken, "%s", begin.c_str());
      cr_expect(written.has_value(), "%s", begin.c_str());
    }
  }
}

// Memory for a stated length of a terabyte was reserved: the process ended.
Test(clientconnection, a_stated_length_reserves_no_memory)
{
  Pair pair;
  const CallResult result = pair.Call([](Tcp::socket& aSocket) {
    WriteAll(aSocket,
             "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\nbody");
    aSocket.close();
  });
  cr_expect(result.mHead && result.mBroken && !result.mEnd);
}

// The end was taken for complete while most of the request was on its way.
Test(clientconnection, an_end_before_the_request_is_acknowledged_is_broken)
{
  const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  for (const std::string part : { "", "part" }) {
    Pair pair;
    const CallResult result =
      pair.CallAfter(std::string(60000, 'u'), [&](Tcp::socket& aSocket) {
        WriteAll(aSocket, head + part);
        aSocket.shutdown(Tcp::socket::shutdown_send);
      });
    cr_expect(result.mBroken && !result.mEnd, "'%s'", part.c_str());
  }
}

// The kernel reports a plain end if a reset follows it.
Test(clientconnection, an_end_that_a_reset_follows_is_broken)
{
  Pair pair;
  const CallResult result = pair.CallAfter("", [](Tcp::socket& aSocket) {
    WriteAll(aSocket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    aSocket.shutdown(Tcp::socket::shutdown_send);
    aSocket.set_option(boost::asio::socket_base::linger(true, 0));
    aSocket.close();
  });
  cr_expect(result.mBroken && !result.mEnd);
}

Test(clientconnection, an_end_after_the_request_was_read_is_complete)
{
  Pair pair;
  const CallResult result = pair.CallAfter("", [](Tcp::socket& aSocket) {
    WriteAll(aSocket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
    aSocket.close();
  });
  cr_expect(result.mEnd && !result.mBroken && result.mBodyBytes == 5);
}

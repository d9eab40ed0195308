#include "rawupstream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace integration {

namespace asio = boost::asio;

namespace {

constexpr size_t kBlockBytes = 16384;

} // namespace

RawUpstream::RawUpstream(Answer aAnswer, uint16_t aPort)
  : mAnswer(std::move(aAnswer))
  , mAcceptor(mLoop, Tcp::endpoint(Tcp::v4(), aPort))
  , mThread([this] { Accept(); })
{
}

RawUpstream::~RawUpstream()
{
  mStop = true;
  boost::system::error_code ignored;
  Tcp::socket wake(mLoop);
  static_cast<void>(wake.connect(mAcceptor.local_endpoint(), ignored));
  mThread.join();
  // Ends the connections that their peers have left open.
  for (const auto& each : mSockets) {
    each->shutdown(Tcp::socket::shutdown_both, ignored);
  }
}

std::string
RawUpstream::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

size_t
RawUpstream::Write(Tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code ignored;
  return asio::write(aSocket, asio::buffer(aText), ignored);
}

void
RawUpstream::Reset(Tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

void
RawUpstream::WriteWithoutEnd(Tcp::socket& aSocket,
                             const std::string& aText,
                             std::chrono::milliseconds aGap)
{
  std::string block;
  while (block.size() < kBlockBytes) {
    block += aText;
  }
  while (Write(aSocket, block) == block.size()) {
    std::this_thread::sleep_for(aGap);
  }
}

void
RawUpstream::Accept()
{
  while (!mStop) {
    mSockets.push_back(std::make_unique<Tcp::socket>(mAcceptor.accept()));
    mConnections.emplace_back(
      [this, socket = mSockets.back().get()] { Serve(*socket); });
  }
}

void
RawUpstream::Serve(Tcp::socket& aSocket)
{
  boost::system::error_code error;
  asio::streambuf head;
  asio::read_until(aSocket, head, "\r\n\r\n", error);
  if (!error) {
    mRequests++;
    mOpen++;
    mAnswer(aSocket);
    mOpen--;
  }
  aSocket.close(error);
}

} // namespace integration

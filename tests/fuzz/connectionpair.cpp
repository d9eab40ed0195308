#include "connectionpair.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>

namespace fuzz {

namespace asio = boost::asio;

ConnectionPair::ConnectionPair()
  : mAcceptor(mOtherLoop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
}

ConnectionPair::Tcp::socket
ConnectionPair::Accept()
{
  return mAcceptor.accept();
}

ConnectionPair::Tcp::socket
ConnectionPair::Connect()
{
  Tcp::socket socket(mOtherLoop);
  socket.connect(Server());
  return socket;
}

void
ConnectionPair::WriteInPieces(Tcp::socket& aSocket, std::string_view aInput)
{
  constexpr size_t kPieces = 3;
  const size_t piece = aInput.size() / kPieces + 1;
  boost::system::error_code error;
  for (size_t at = 0; at < aInput.size() && !error; at += piece) {
    asio::write(aSocket, asio::buffer(aInput.substr(at, piece)), error);
    mLoop.restart();
    mLoop.poll();
  }
}

void
ConnectionPair::Finish(Tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  // A reset leaves no port behind that waits for late packets.
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
  mLoop.restart();
  mLoop.poll();
}

} // namespace fuzz

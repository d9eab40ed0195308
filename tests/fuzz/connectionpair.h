#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace fuzz {

/** Two connected sockets on loopback that a fuzz target uses for one input. */
class ConnectionPair
{
public:
  using Tcp = boost::asio::ip::tcp;

  ConnectionPair();

  boost::asio::io_context& Loop() { return mLoop; }
  Tcp::endpoint Server() const { return mAcceptor.local_endpoint(); }
  /** The server's side of the connection that a client has begun. */
  Tcp::socket Accept();
  Tcp::socket Connect();
  /** Writes the input in pieces and lets the other side read each. */
  void WriteInPieces(Tcp::socket& aSocket, std::string_view aInput);
  /** Closes the socket and lets the other side notice. */
  void Finish(Tcp::socket& aSocket);

private:
  boost::asio::io_context mLoop;
  boost::asio::io_context mOtherLoop;
  Tcp::acceptor mAcceptor;
};

} // namespace fuzz

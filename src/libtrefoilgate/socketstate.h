#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace trefoilgate {

/**
 * Whether a connection whose end has been read ended in order: the peer has
 * acknowledged everything that was sent to it, and has not reset the
 * connection. A read reports a plain end after a reset too, if a failed write
 * has taken the socket's error or the peer had closed its side before.
 */
bool
HasEndedInOrder(boost::asio::ip::tcp::socket& aSocket);

} // namespace trefoilgate

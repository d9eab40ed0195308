#include "standinserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <iostream>
#include <map>
#include <sys/socket.h>
#include <thread>

namespace standin {

namespace net = boost::asio;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

constexpr uint64_t kMaxBodyBytes = 64 * 1024 * 1024;

Tcp::endpoint
ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  const int port = std::stoi(aText.substr(colon + 1));
  return { net::ip::make_address(aText.substr(0, colon)),
           static_cast<uint16_t>(port) };
}

std::string
DecodePercent(const std::string& aText)
{
  std::string decoded;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded +=
        static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

} // namespace

class Exchange::Impl
{
public:
  explicit Impl(Tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  /** Reads one request; returns false if the connection has ended. */
  bool Read()
  {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    error_code error;
    http::read_header(mSocket, mBuffer, parser, error);
    if (!error && parser.get()[http::field::expect] == "100-continue") {
      http::write(mSocket,
                  http::response<http::empty_body>(http::status::continue_, 11),
                  error);
    }
    if (!error) {
      http::read(mSocket, mBuffer, parser, error);
    }
    if (error) {
      return false;
    }
    mRequest = parser.release();
    mMethod = std::string(mRequest.method_string());
    mResponseSent = false;
    mHeaders.clear();
    return true;
  }

  bool Reusable() const
  {
    return mResponseSent && !mBroken && mRequest.keep_alive();
  }

  void Cut()
  {
    mBroken = true;
    error_code ignored;
    mSocket.set_option(net::socket_base::linger(true, 0), ignored);
    mSocket.close(ignored);
  }

  Tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  std::string mMethod;
  /** Further headers of the response. */
  std::map<std::string, std::string> mHeaders;
  bool mResponseSent = false;
  bool mBroken = false;
};

Exchange::Exchange(Impl& aImpl)
  : mImpl(aImpl)
{
}

const std::string&
Exchange::Method() const
{
  return mImpl.mMethod;
}

std::string
Exchange::Path() const
{
  const std::string target(mImpl.mRequest.target());
  return target.substr(0, target.find('?'));
}

std::string
Exchange::Parameter(const std::string& aName) const
{
  const std::string target(mImpl.mRequest.target());
  size_t position = target.find('?');
  while (position != std::string::npos) {
    const size_t end = target.find('&', position + 1);
    const std::string pair = target.substr(position + 1, end - position - 1);
    if (pair.starts_with(aName + "=")) {
      return DecodePercent(pair.substr(aName.size() + 1));
    }
    position = end;
  }
  return "";
}

std::string
Exchange::Header(const std::string& aName) const
{
  return std::string(mImpl.mRequest[aName]);
}

const std::string&
Exchange::Body() const
{
  return mImpl.mRequest.body();
}

void
Exchange::Send(int aStatus,
               const std::string& aBody,
               const std::string& aType,
               const std::string& aETag)
{
  http::response<http::string_body> reply(static_cast<http::status>(aStatus),
                                          mImpl.mRequest.version());
  reply.set(http::field::content_type, aType);
  if (!aETag.empty()) {
    reply.set(http::field::etag, aETag);
  }
  for (const auto& [name, value] : mImpl.mHeaders) {
    reply.set(name, value);
  }
  reply.keep_alive(mImpl.mRequest.keep_alive());
  reply.body() = aBody;
  reply.prepare_payload();
  if (mImpl.mMethod == "HEAD") {
    reply.body().clear();
  }
  error_code error;
  http::write(mImpl.mSocket, reply, error);
  mImpl.mBroken = mImpl.mBroken || error.failed();
  mImpl.mResponseSent = true;
}

void
Exchange::SendUnframed(int aStatus, const std::string& aBody)
{
  const std::string text =
    "HTTP/1.1 " + std::to_string(aStatus) +
    " Unframed\r\nContent-Type: application/json\r\n\r\n" + aBody;
  error_code ignored;
  net::write(mImpl.mSocket, net::buffer(text), ignored);
  mImpl.mBroken = true;
}

void
Exchange::SetHeader(const std::string& aName, const std::string& aValue)
{
  mImpl.mHeaders[aName] = aValue;
}

void
Exchange::StartStream(int aStatus, const std::string& aType)
{
  http::response<http::empty_body> reply(static_cast<http::status>(aStatus),
                                         mImpl.mRequest.version());
  reply.set(http::field::content_type, aType);
  reply.keep_alive(mImpl.mRequest.keep_alive());
  reply.chunked(true);
  http::response_serializer<http::empty_body> serializer(reply);
  error_code error;
  http::write_header(mImpl.mSocket, serializer, error);
  mImpl.mBroken = mImpl.mBroken || error.failed();
}

bool
Exchange::Write(const std::string& aData)
{
  if (mImpl.mBroken) {
    return false;
  }
  error_code error;
  net::write(mImpl.mSocket, http::make_chunk(net::buffer(aData)), error);
  mImpl.mBroken = error.failed();
  return !mImpl.mBroken;
}

void
Exchange::EndStream()
{
  if (mImpl.mBroken) {
    return;
  }
  error_code error;
  net::write(mImpl.mSocket, http::make_chunk_last(), error);
  mImpl.mBroken = error.failed();
  mImpl.mResponseSent = true;
}

void
Exchange::Cut()
{
  mImpl.Cut();
}

bool
Exchange::ClientLeft() const
{
  if (mImpl.mBroken) {
    return true;
  }
  char byte = 0;
  const ssize_t peeked =
    recv(mImpl.mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EINTR);
}

struct StandinServer::Listener
{
  Listener(const Tcp::endpoint& aEndpoint, Handler aHandler)
    : mAcceptor(mContext)
    , mHandler(std::move(aHandler))
  {
    mAcceptor.open(aEndpoint.protocol());
    mAcceptor.set_option(net::socket_base::reuse_address(true));
    mAcceptor.bind(aEndpoint);
    mAcceptor.listen(net::socket_base::max_listen_connections);
  }

  void Accept(const std::shared_ptr<Listener>& aSelf)
  {
    while (true) {
      error_code error;
      Tcp::socket socket(mContext);
      mAcceptor.accept(socket, error);
      if (error) {
        continue;
      }
      std::thread(&Listener::Serve, this, aSelf, std::move(socket)).detach();
    }
  }

  void Serve(const std::shared_ptr<Listener>& aSelf, Tcp::socket aSocket)
  {
    static_cast<void>(aSelf);
    error_code ignored;
    aSocket.set_option(Tcp::no_delay(true), ignored);
    Exchange::Impl connection(std::move(aSocket));
    while (connection.Read()) {
      Exchange exchange(connection);
      mHandler(exchange);
      if (!connection.Reusable()) {
        break;
      }
    }
  }

  net::io_context mContext;
  Tcp::acceptor mAcceptor;
  Handler mHandler;
};

StandinServer::StandinServer(const std::string& aEndpoint, Handler aHandler)
  : mListener(
      std::make_shared<Listener>(ParseEndpoint(aEndpoint), std::move(aHandler)))
{
  std::thread(&Listener::Accept, mListener.get(), mListener).detach();
}

std::string
StandinServer::Endpoint() const
{
  const Tcp::endpoint endpoint = mListener->mAcceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void
AnnounceListening(const std::string& aRole,
                  const std::string& aName,
                  const std::string& aEndpoint)
{
  std::cout << "listening " << aRole << ' ' << aName << ' ' << aEndpoint
            << std::endl;
}

void
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void
WaitForStopSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace standin

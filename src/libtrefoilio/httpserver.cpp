#include "httpserver.h"

#include "connectionwatch.h"
#include "listensocket.h"
#include "socketwriting.h"
#include "streamstate.h"

#include <ulfius.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <stdexcept>

namespace trefoilio {

namespace {

constexpr size_t kStreamBlockBytes = size_t{ 16 } * 1024;
constexpr size_t kThreadStackBytes = size_t{ 1024 } * 1024;
/** Memory that libmicrohttpd needs in addition to the headers. */
constexpr size_t kPoolReserveBytes = size_t{ 16 } * 1024;
/** Allowance for the chunk lengths within chunked bodies. */
constexpr size_t kFramingReserveBytes = size_t{ 64 } * 1024;

/** State of one connection, which serves one request at a time. */
struct Connection
{
  int mSocket = -1;
  bool mReachedHandler = false;
  std::shared_ptr<StreamState> mStream;
};

/** The connection served by this thread; each has its own thread. */
thread_local Connection* sConnection = nullptr;

int
SocketOf(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info ? info->connect_fd : -1;
}

Connection*
ContextOf(MHD_Connection* aConnection)
{
  const MHD_ConnectionInfo* info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info ? static_cast<Connection*>(info->socket_context) : nullptr;
}

size_t
HeaderBytes(const HttpRequest& aRequest)
{
  size_t bytes = aRequest.mMethod.size() + aRequest.mTarget.size();
  for (const auto& [name, value] : aRequest.mHeaders) {
    bytes += name.size() + value.size() + 4;
  }
  return bytes;
}

HttpRequest
ReadRequest(const _u_request& aRequest)
{
  HttpRequest request;
  request.mMethod = aRequest.http_verb ? aRequest.http_verb : "";
  request.mTarget = aRequest.http_url ? aRequest.http_url : "";
  const _u_map& headers = *aRequest.map_header;
  for (int i = 0; i < headers.nb_values; ++i) {
    request.mHeaders.emplace_back(headers.keys[i],
                                  headers.values[i] ? headers.values[i] : "");
  }
  if (aRequest.binary_body_length > 0) {
    request.mBody.assign(static_cast<const char*>(aRequest.binary_body),
                         aRequest.binary_body_length);
  }
  return request;
}

ssize_t
ReadStream(void* aState, uint64_t, char* aOut, size_t aMaxBytes)
{
  return (*static_cast<std::shared_ptr<StreamState>*>(aState))
    ->Read(aOut, aMaxBytes);
}

void
FreeStream(void* aState)
{
  auto* state = static_cast<std::shared_ptr<StreamState>*>(aState);
  (*state)->Close();
  delete state;
}

void
WriteHeaders(const HttpReply& aReply, _u_response& aResponse)
{
  for (const auto& [name, value] : aReply.mHeaders) {
    if (SafeHeader(name, value)) {
      u_map_put(aResponse.map_header, name.c_str(), value.c_str());
    }
  }
}

BadInput
KindOf(RejectReason aReason)
{
  switch (aReason) {
    case RejectReason::TooSlow:
      return BadInput::SlowSender;
    case RejectReason::NoMemory:
      return BadInput::NoMemory;
    case RejectReason::TooManyBytes:
      break;
  }
  return BadInput::BodyTooLarge;
}

/** The reply in HTTP format, after which the connection closes. */
std::string
SerializeReply(const HttpReply& aReply)
{
  const char* status =
    MHD_get_reason_phrase_for(static_cast<unsigned>(aReply.mStatus));
  std::string text = "HTTP/1.1 " + std::to_string(aReply.mStatus) + " ";
  text.append(status).append("\r\nConnection: close\r\n");
  if (!aReply.mEndsWithConnection) {
    text += "Content-Length: " + std::to_string(aReply.mBody.size()) + "\r\n";
  }
  for (const auto& [name, value] : aReply.mHeaders) {
    if (SafeHeader(name, value)) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
  }
  return text + "\r\n" + aReply.mBody;
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(HttpServerOptions aOptions, Handler aHandler, BadInputHandler aBadInput)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mBadInput(std::move(aBadInput))
    , mWatch(WatchOptions(),
             [this](RejectReason aReason) { return RejectResponse(aReason); })
    , mListener(mOptions.mAddress, mOptions.mPort)
    , mPort(mListener.Port())
  {
    if (ulfius_init_instance(&mInstance, mPort, nullptr, nullptr) != U_OK) {
      throw std::runtime_error("cannot create the HTTP server");
    }
    mInstance.max_post_body_size = mOptions.mMaxBodyBytes + 1;
    mInstance.check_utf8 = 0;
    mInstance.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&mInstance, &OnRequest, this);
    if (!StartDaemon()) {
      ulfius_clean_instance(&mInstance);
      throw std::runtime_error("cannot start the HTTP server");
    }
  }

  ~Impl()
  {
    ulfius_stop_framework(&mInstance);
    ulfius_clean_instance(&mInstance);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  uint16_t Port() const { return mPort; }

private:
  ConnectionWatchOptions WatchOptions() const
  {
    const size_t body = mOptions.mMaxBodyBytes;
    return { .mMaxRequestBytes = body + body / 8 + mOptions.mMaxHeaderBytes +
                                 kFramingReserveBytes,
             .mReceiveTimeout = std::chrono::seconds(mOptions.mReceiveSeconds),
             .mIdleTimeout = std::chrono::seconds(mOptions.mIdleSeconds),
             .mMaxConnections = mOptions.mMaxConnections,
             .mMaxTotalBytes = mOptions.mMaxTotalBytes };
  }

  /** Above mMaxConnections, so that excess connections get a response. */
  unsigned HardConnectionLimit() const
  {
    const size_t limit = mOptions.mMaxConnections;
    return static_cast<unsigned>(limit + limit / 4 + 16);
  }

  bool StartDaemon()
  {
    const auto pointer = [](auto* aCallback) {
      return reinterpret_cast<intptr_t>(aCallback);
    };
    const auto pool =
      static_cast<intptr_t>(2 * mOptions.mMaxHeaderBytes + kPoolReserveBytes);
    MHD_OptionItem items[] = {
      { MHD_OPTION_NOTIFY_COMPLETED, pointer(&OnCompleted), this },
      { MHD_OPTION_URI_LOG_CALLBACK, pointer(&OnUri), this },
      { MHD_OPTION_NOTIFY_CONNECTION, pointer(&OnConnection), this },
      { MHD_OPTION_LISTEN_SOCKET, mListener.Socket(), nullptr },
      { MHD_OPTION_CONNECTION_LIMIT,
        static_cast<intptr_t>(HardConnectionLimit()),
        nullptr },
      { MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool, nullptr },
      { MHD_OPTION_THREAD_STACK_SIZE,
        static_cast<intptr_t>(kThreadStackBytes),
        nullptr },
      { MHD_OPTION_END, 0, nullptr },
    };
    constexpr unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                               MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&mInstance, flags, items) !=
        U_OK) {
      return false;
    }
    mListener.Release();
    return true;
  }

  static void OnConnection(void* aSelf,
                           MHD_Connection* aConnection,
                           void** aContext,
                           MHD_ConnectionNotificationCode aCode)
  {
    auto* self = static_cast<Impl*>(aSelf);
    if (aCode == MHD_CONNECTION_NOTIFY_CLOSED) {
      const std::unique_ptr<Connection> ended(
        static_cast<Connection*>(*aContext));
      if (ended) {
        self->mWatch.Closed(ended->mSocket);
      }
      *aContext = nullptr;
      return;
    }
    auto connection = std::make_unique<Connection>();
    connection->mSocket = SocketOf(aConnection);
    self->SetSocketOptions(connection->mSocket);
    self->mWatch.Opened(connection->mSocket);
    *aContext = connection.release();
  }

  void SetSocketOptions(int aSocket) const
  {
    const int on = 1;
    setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const unsigned limit = mOptions.mUnacknowledgedMillis;
    setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  }

  static void* OnUri(void* aSelf, const char* aUri, MHD_Connection* aConnection)
  {
    auto* self = static_cast<Impl*>(aSelf);
    sConnection = ContextOf(aConnection);
    if (sConnection) {
      sConnection->mReachedHandler = false;
      self->mWatch.RequestStarted(sConnection->mSocket);
    }
    return ulfius_uri_logger(&self->mInstance, aUri);
  }

  static void OnCompleted(void* aSelf,
                          MHD_Connection* aConnection,
                          void** aRequest,
                          MHD_RequestTerminationCode aCode)
  {
    auto* self = static_cast<Impl*>(aSelf);
    if (Connection* connection = ContextOf(aConnection)) {
      self->Finish(*connection);
    }
    mhd_request_completed(&self->mInstance, aConnection, aRequest, aCode);
  }

  void Finish(Connection& aConnection)
  {
    if (aConnection.mStream) {
      aConnection.mStream->Close();
      aConnection.mStream.reset();
    }
    const bool rejected = mWatch.ResponseFinished(aConnection.mSocket);
    if (!rejected && !aConnection.mReachedHandler) {
      mBadInput(BadInput::Malformed);
    }
  }

  static int OnRequest(const _u_request* aRequest,
                       _u_response* aResponse,
                       void* aSelf)
  {
    auto* self = static_cast<Impl*>(aSelf);
    Connection& connection = *sConnection;
    connection.mReachedHandler = true;
    if (!self->mWatch.RequestComplete(connection.mSocket)) {
      ulfius_set_empty_body_response(aResponse, 400);
      return U_CALLBACK_COMPLETE;
    }
    HttpRequest request = ReadRequest(*aRequest);
    request.mCallerLeft = [socket = connection.mSocket] {
      return PeerLeft(socket);
    };
    const HttpReply reply = self->Answer(request);
    if (reply.mEndsWithConnection) {
      self->SendCloseDelimited(reply, connection.mSocket);
      ulfius_set_empty_body_response(aResponse,
                                     static_cast<unsigned>(reply.mStatus));
      return U_CALLBACK_COMPLETE;
    }
    const std::string_view protocol =
      aRequest->http_protocol ? aRequest->http_protocol : "";
    Send(reply, connection, protocol == "HTTP/1.0", *aResponse);
    return U_CALLBACK_COMPLETE;
  }

  HttpReply Answer(const HttpRequest& aRequest) const
  {
    if (aRequest.mBody.size() > mOptions.mMaxBodyBytes) {
      return mBadInput(BadInput::BodyTooLarge);
    }
    if (HeaderBytes(aRequest) > mOptions.mMaxHeaderBytes) {
      return mBadInput(BadInput::HeaderTooLarge);
    }
    if (mWatch.OverLimit()) {
      HttpReply reply = mBadInput(BadInput::TooManyConnections);
      reply.mHeaders.emplace_back("Connection", "close");
      return reply;
    }
    return mHandler(aRequest);
  }

  /** Bypasses libmicrohttpd, which frames every body. What it writes after
   * that reaches nobody. */
  void SendCloseDelimited(const HttpReply& aReply, int aSocket) const
  {
    const std::chrono::milliseconds timeout(mOptions.mUnacknowledgedMillis);
    SetResetOnClose(aSocket, true);
    if (!WriteAll(aSocket, SerializeReply(aReply), timeout)) {
      ResetConnection(aSocket);
      return;
    }
    SetResetOnClose(aSocket, false);
    shutdown(aSocket, SHUT_WR);
  }

  static void Send(const HttpReply& aReply,
                   Connection& aConnection,
                   bool aCloseDelimited,
                   _u_response& aResponse)
  {
    WriteHeaders(aReply, aResponse);
    const auto status = static_cast<unsigned>(aReply.mStatus);
    if (!aReply.mStream && aReply.mBody.empty()) {
      ulfius_set_empty_body_response(&aResponse, status);
      return;
    }
    if (!aReply.mStream) {
      ulfius_set_binary_body_response(
        &aResponse, status, aReply.mBody.data(), aReply.mBody.size());
      return;
    }
    aConnection.mStream = std::make_shared<StreamState>(
      aReply.mStream, aReply.mOnClosed, aConnection.mSocket, aCloseDelimited);
    auto* streamOwner = new std::shared_ptr<StreamState>(aConnection.mStream);
    const int result = ulfius_set_stream_response(&aResponse,
                                                  status,
                                                  &ReadStream,
                                                  &FreeStream,
                                                  U_STREAM_SIZE_UNKNOWN,
                                                  kStreamBlockBytes,
                                                  streamOwner);
    if (result != U_OK) {
      FreeStream(streamOwner);
    }
  }

  std::string RejectResponse(RejectReason aReason) const
  {
    return SerializeReply(mBadInput(KindOf(aReason)));
  }

  const HttpServerOptions mOptions;
  const Handler mHandler;
  const BadInputHandler mBadInput;
  ConnectionWatch mWatch;
  ListenSocket mListener;
  const uint16_t mPort;
  _u_instance mInstance{};
};

HttpServer::HttpServer(HttpServerOptions aOptions,
                       Handler aHandler,
                       BadInputHandler aBadInput)
  : mImpl(std::make_unique<Impl>(std::move(aOptions),
                                 std::move(aHandler),
                                 std::move(aBadInput)))
{
}

HttpServer::~HttpServer() = default;

uint16_t
HttpServer::Port() const
{
  return mImpl->Port();
}

} // namespace trefoilio

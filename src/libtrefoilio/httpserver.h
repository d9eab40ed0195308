#pragma once

#include "httpmessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoilio {

/** Listen address and limits of an HttpServer. */
struct HttpServerOptions
{
  std::string mAddress = "127.0.0.1";
  uint16_t mPort = 0; /**< 0: any free port */
  size_t mMaxBodyBytes = size_t{ 4 } * 1024 * 1024;
  size_t mMaxHeaderBytes = size_t{ 16 } * 1024;
  /** Maximum bytes of all requests that are received or answered; beyond it the
   * largest that are incomplete are rejected. */
  size_t mMaxTotalBytes = size_t{ 8 } * 1024 * 1024;
  size_t mMaxConnections = 1000;
  /** Requests not received completely after this are rejected; seconds. */
  unsigned mReceiveSeconds = 10;
  /** Connections without a request for this long are closed; seconds. */
  unsigned mIdleSeconds = 60;
  /** Callers that acknowledge no data for this long are disconnected. */
  unsigned mUnacknowledgedMillis = 10000;
};

/** Why a request did not reach the handler. */
enum class BadInput
{
  BodyTooLarge,
  HeaderTooLarge,
  Malformed,          /**< not HTTP, or truncated */
  SlowSender,         /**< incomplete after mReceiveSeconds */
  TooManyConnections, /**< above mMaxConnections */
  NoMemory,           /**< all requests together are above mMaxTotalBytes */
};

/** HTTP server based on ulfius; its threads live as long as the object. */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;
  /**
   * Builds the response to bad input and counts it. Called once for each,
   * even if no response can be sent.
   */
  using BadInputHandler = std::function<HttpReply(BadInput)>;

  /** Starts listening; throws std::runtime_error on failure. */
  HttpServer(HttpServerOptions aOptions,
             Handler aHandler,
             BadInputHandler aBadInput);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t Port() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoilio

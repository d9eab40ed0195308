#pragma once

#include "httpmessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoilio {

/** Where and how much an HttpServer accepts. */
struct HttpServerOptions
{
  std::string mAddress = "127.0.0.1";
  uint16_t mPort = 0; /**< 0: any free port */
  size_t mMostBody = size_t{ 4 } * 1024 * 1024;
  size_t mMaxHeaderBytes = size_t{ 16 } * 1024;
  size_t mMaxConnections = 1000;
  /** A request that is not whole after this is given up; seconds. */
  unsigned mReceiveSeconds = 10;
  /** A connection without a request for so long is closed; seconds. */
  unsigned mIdleSeconds = 60;
  /** A caller that takes no byte of its answer for so long is given up. */
  unsigned mUnacknowledgedMillis = 10000;
};

/** Why a request never reached the handler. */
enum class BadInput
{
  BodyTooLarge,
  HeaderTooLarge,
  Malformed,          /**< not HTTP, or cut off before it was whole */
  SlowSender,         /**< not whole within mReceiveSeconds */
  TooManyConnections, /**< above mMaxConnections */
};

/** An HTTP server on ulfius; its threads live as long as the object. */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;
  /**
   * Makes the answer to bad input, and counts it. Called once for each, also
   * where no answer can be sent any more.
   */
  using BadInputHandler = std::function<HttpReply(BadInput)>;

  /** Listens at once; throws std::runtime_error where it cannot. */
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

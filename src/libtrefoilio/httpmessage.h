#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoilio {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** The value of the first header of that name in any case; else empty. */
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/** Whether two header names are the same but for case. */
bool
SameHeaderName(std::string_view aLeft, std::string_view aRight);

/** False where a header could smuggle in a line of its own; never sent. */
bool
SafeHeader(std::string_view aName, std::string_view aValue);

/** A request as the server received it, or as a client is to send it. */
struct HttpRequest
{
  std::string mMethod{};
  /** Path with the query string, as sent; for a client the whole URL. */
  std::string mTarget{};
  HttpHeaders mHeaders{};
  std::string mBody{};
  /**
   * Set by the server: true once the caller has closed its connection. A
   * handler that waits asks now and then; valid until the answer is over.
   */
  std::function<bool()> mCallerLeft{};
};

/** What one step of a streamed body did. */
enum class StreamStep
{
  Data, /**< mOut holds bytes to send */
  End,  /**< the body is whole */
  Cut,  /**< drop the connection, so that the body cannot look whole */
};

/**
 * Produces a streamed body. Called again and again on the connection's own
 * thread; may wait, but for less than a second at a time, and must then put
 * something in aOut: only a write shows that the caller has left.
 */
using StreamSource = std::function<StreamStep(std::string& aOut)>;

/** An answer. */
struct HttpReply
{
  int mStatus = 200;
  HttpHeaders mHeaders{};
  std::string mBody{};
  /** Where set, the body is streamed from it and mBody is ignored. */
  StreamSource mStream{};
  /** Called once when a streamed answer is over, whole or not. */
  std::function<void()> mOnClosed{};
};

} // namespace trefoilio

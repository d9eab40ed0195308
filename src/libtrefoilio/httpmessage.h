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

/** Returns the first value of a header, ignoring case, or empty text. */
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/** Compares two header names, ignoring case. */
bool
SameHeaderName(std::string_view aLeft, std::string_view aRight);

/** Returns false if a header allows injection; such headers are not sent. */
bool
SafeHeader(std::string_view aName, std::string_view aValue);

/** A request received by the server or to be sent by a client. */
struct HttpRequest
{
  std::string mMethod{};
  /** Path and query string as received; for a client the full URL. */
  std::string mTarget{};
  HttpHeaders mHeaders{};
  std::string mBody{};
  /**
   * Set by the server: returns true once the caller has disconnected. A
   * waiting handler polls it; valid until the response has ended.
   */
  std::function<bool()> mCallerLeft{};
};

/** Result of one step of a streamed body. */
enum class StreamStep
{
  Data,  /**< mOut holds bytes to send */
  End,   /**< the body is complete */
  Abort, /**< abort the connection, so that the body does not look complete */
};

/**
 * Produces a streamed body. Called repeatedly on the connection's thread; may
 * block for less than a second at a time and must then write to aOut, because
 * a disconnected caller is only detected by a write.
 */
using StreamSource = std::function<StreamStep(std::string& aOut)>;

struct HttpReply
{
  int mStatus = 200;
  HttpHeaders mHeaders{};
  std::string mBody{};
  /** If set, produces the body, and mBody is ignored. */
  StreamSource mStream{};
  /** The connection's end is the end of mBody, as it is not known whether the
   * body is complete. */
  bool mEndsWithConnection = false;
  /** Called once when a streamed response ends, complete or not. */
  std::function<void()> mOnClosed{};
};

} // namespace trefoilio

#include "outgoingrequest.h"

#include "libtrefoilgate/connectionpool.h"
#include "libtrefoilgate/httpfields.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace trefoilio {

namespace {

constexpr std::string_view kScheme = "http://";

/** Headers that apply to the connection and are not forwarded. */
constexpr std::array<std::string_view, 6> kConnectionHeaders{
  "Host",   "Content-Length", "Transfer-Encoding",
  "Expect", "Connection",     "Keep-Alive"
};

bool
IsConnectionHeader(std::string_view aName)
{
  return std::ranges::any_of(kConnectionHeaders, [&](std::string_view aHeader) {
    return SameHeaderName(aName, aHeader);
  });
}

/** Whether the text is one word of a request line. */
bool
IsWord(std::string_view aText)
{
  return !aText.empty() && std::ranges::none_of(aText, [](char aLetter) {
    const auto code = static_cast<unsigned char>(aLetter);
    return code <= ' ' || code == 0x7f;
  });
}

/** A URL without its scheme and fragment. */
struct Location
{
  std::string mEndpoint;
  std::string mPath;
};

std::optional<Location>
ParseLocation(std::string_view aUrl)
{
  if (!aUrl.starts_with(kScheme) || !IsWord(aUrl)) {
    return std::nullopt;
  }
  aUrl.remove_prefix(kScheme.size());
  aUrl = aUrl.substr(0, aUrl.find('#'));
  const size_t end = std::min(aUrl.find_first_of("/?"), aUrl.size());
  Location location{ .mEndpoint = std::string(aUrl.substr(0, end)),
                     .mPath = std::string(aUrl.substr(end)) };
  if (!location.mPath.starts_with('/')) {
    location.mPath.insert(0, "/");
  }
  if (trefoilgate::ParseEndpoint(location.mEndpoint).port() == 0) {
    return std::nullopt;
  }
  return location;
}

bool
SendsBody(const HttpRequest& aRequest)
{
  return !aRequest.mBody.empty() || aRequest.mMethod == "POST" ||
         aRequest.mMethod == "PUT";
}

} // namespace

std::optional<OutgoingRequest>
MakeOutgoing(HttpRequest aRequest)
{
  const auto location = ParseLocation(aRequest.mTarget);
  if (!location || !IsWord(aRequest.mMethod)) {
    return std::nullopt;
  }
  std::string head = aRequest.mMethod + " " + location->mPath + " HTTP/1.1\r\n";
  const std::string_view host = FindHeader(aRequest.mHeaders, "Host");
  trefoilgate::AppendField(
    head, "Host", IsWord(host) ? host : location->mEndpoint);
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (SafeHeader(name, value) && !IsConnectionHeader(name)) {
      trefoilgate::AppendField(head, name, value);
    }
  }
  if (SendsBody(aRequest)) {
    trefoilgate::AppendField(
      head, "Content-Length", std::to_string(aRequest.mBody.size()));
  }
  head += "\r\n";
  return OutgoingRequest{ .mEndpoint = location->mEndpoint,
                          .mCall = { .mHead = std::move(head),
                                     .mBody =
                                       std::make_shared<const std::string>(
                                         std::move(aRequest.mBody)),
                                     .mNoBody = aRequest.mMethod == "HEAD" } };
}

HttpHeaders
HeadersOf(const trefoilgate::UpstreamAnswer& aAnswer)
{
  HttpHeaders headers = aAnswer.mHeaders;
  if (aAnswer.mLength) {
    headers.emplace_back("Content-Length", std::to_string(*aAnswer.mLength));
  } else if (!aAnswer.mEndsWithConnection) {
    headers.emplace_back("Transfer-Encoding", "chunked");
  }
  if (aAnswer.mCloses) {
    headers.emplace_back("Connection", "close");
  }
  return headers;
}

} // namespace trefoilio

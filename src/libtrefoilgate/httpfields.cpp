#include "httpfields.h"

#include "libtrefoilio/httpmessage.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace trefoilgate {

namespace http = boost::beast::http;

namespace {

constexpr std::array kHopByHopFields = {
  http::field::connection,       http::field::keep_alive,
  http::field::proxy_connection, http::field::te,
  http::field::trailer,          http::field::transfer_encoding,
  http::field::upgrade,          http::field::content_length,
  http::field::expect,
};

} // namespace

bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return trefoilio::SameHeaderName(aLeft, aRight);
}

std::string_view
HeaderValue(const Headers& aHeaders, std::string_view aName)
{
  return trefoilio::FindHeader(aHeaders, aName);
}

bool
HasHeader(const Headers& aHeaders, std::string_view aName)
{
  return std::any_of(
    aHeaders.begin(), aHeaders.end(), [aName](const auto& aHeader) {
      return IsSameHeaderName(aHeader.first, aName);
    });
}

Headers
EndToEndHeaders(const http::fields& aFields)
{
  std::vector<std::string> connectionOptions;
  const auto connections = aFields.equal_range(http::field::connection);
  for (auto each = connections.first; each != connections.second; ++each) {
    for (const auto& token : http::token_list{ each->value() }) {
      connectionOptions.emplace_back(token);
    }
  }
  Headers headers;
  for (const auto& field : aFields) {
    const auto hopByHop =
      std::find(kHopByHopFields.begin(), kHopByHopFields.end(), field.name());
    if (hopByHop != kHopByHopFields.end()) {
      continue;
    }
    const std::string name(field.name_string());
    const bool listed = std::any_of(connectionOptions.begin(),
                                    connectionOptions.end(),
                                    [&](const std::string& aOption) {
                                      return IsSameHeaderName(aOption, name);
                                    });
    if (!listed) {
      headers.emplace_back(name, std::string(field.value()));
    }
  }
  return headers;
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText += aName;
  aText += ": ";
  aText += aValue;
  aText += "\r\n";
}

} // namespace trefoilgate

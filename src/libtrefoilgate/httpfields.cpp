#include "httpfields.h"

#include "libtrefoilio/httpmessage.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace trefoilgate {

namespace http = boost::beast::http;

namespace {

constexpr std::array kOneConnection = {
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
  std::vector<std::string> named;
  const auto connections = aFields.equal_range(http::field::connection);
  for (auto each = connections.first; each != connections.second; ++each) {
    for (const auto& token : http::token_list{ each->value() }) {
      named.emplace_back(token);
    }
  }
  Headers headers;
  for (const auto& field : aFields) {
    const auto hop =
      std::find(kOneConnection.begin(), kOneConnection.end(), field.name());
    if (hop != kOneConnection.end()) {
      continue;
    }
    const std::string name(field.name_string());
    const bool listed =
      std::any_of(named.begin(), named.end(), [&](const std::string& aNamed) {
        return IsSameHeaderName(aNamed, name);
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

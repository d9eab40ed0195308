#include "httpfields.h"

#include "libtrefoilio/httpmessage.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
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

/** Orders names by their length first, which tells most of them apart. */
struct NameOrder
{
  bool operator()(boost::beast::string_view aLeft,
                  boost::beast::string_view aRight) const
  {
    return aLeft.size() != aRight.size() ? aLeft.size() < aRight.size()
                                         : boost::beast::iless{}(aLeft, aRight);
  }
};

/** The fields that are not forwarded: those of one connection, by their own
 * definition or as `Connection` lists them. Lookups are in sorted names, as a
 * head may hold thousands of both. */
class HopByHopFields
{
public:
  /** Requires that the value outlives this object. */
  void AddConnection(boost::beast::string_view aValue)
  {
    for (const auto& token : http::token_list{ aValue }) {
      const bool repeated =
        !mListed.empty() && boost::beast::iequals(mListed.back(), token);
      if (!repeated) {
        mListed.push_back(token);
      }
    }
  }

  void Sort() { std::sort(mListed.begin(), mListed.end(), NameOrder{}); }

  /** Requires Sort(). */
  bool Contains(boost::beast::string_view aName, http::field aField) const
  {
    const bool always =
      std::find(kHopByHopFields.begin(), kHopByHopFields.end(), aField) !=
      kHopByHopFields.end();
    return always || std::binary_search(
                       mListed.begin(), mListed.end(), aName, NameOrder{});
  }

private:
  std::vector<boost::beast::string_view> mListed;
};

boost::beast::string_view
AsBeastView(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

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

std::string_view
HeaderValue(const HeaderBlock& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (IsSameHeaderName(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
HasHeader(const HeaderBlock& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (IsSameHeaderName(name, aName)) {
      return true;
    }
  }
  return false;
}

Headers
EndToEndHeaders(const http::fields& aFields)
{
  HopByHopFields hopByHop;
  const auto connections = aFields.equal_range(http::field::connection);
  for (auto each = connections.first; each != connections.second; ++each) {
    hopByHop.AddConnection(each->value());
  }
  hopByHop.Sort();
  Headers headers;
  for (const auto& field : aFields) {
    if (!hopByHop.Contains(field.name_string(), field.name())) {
      headers.emplace_back(field.name_string(), field.value());
    }
  }
  return headers;
}

HeaderBlock
EndToEndHeaders(const HeaderBlock& aFields)
{
  HopByHopFields hopByHop;
  for (const auto& [name, value] : aFields) {
    if (IsSameHeaderName(name, "Connection")) {
      hopByHop.AddConnection(AsBeastView(value));
    }
  }
  hopByHop.Sort();
  HeaderBlock headers;
  for (const auto& [name, value] : aFields) {
    const auto beastName = AsBeastView(name);
    if (!hopByHop.Contains(beastName, http::string_to_field(beastName))) {
      headers.Append(name, value);
    }
  }
  headers.ShrinkToFit();
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

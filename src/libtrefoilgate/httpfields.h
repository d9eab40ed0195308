#pragma once

#include "headerblock.h"

#include "libtrefoilarch/messages.h"

#include <boost/beast/http/fields.hpp>

#include <array>
#include <string>
#include <string_view>

namespace trefoilgate {

using trefoilarch::Headers;

/** Compares two header names, ignoring case. */
bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

/** The first value of this header, or an empty text. */
std::string_view
HeaderValue(const Headers& aHeaders, std::string_view aName);
std::string_view
HeaderValue(const HeaderBlock& aHeaders, std::string_view aName);

/** The first value of each of these headers, found in one pass; empty texts for
 * those that are absent. */
template<size_t Count>
std::array<std::string_view, Count>
HeaderValues(const HeaderBlock& aHeaders,
             const std::array<std::string_view, Count>& aNames)
{
  std::array<std::string_view, Count> values;
  for (const auto& [name, value] : aHeaders) {
    for (size_t each = 0; each < Count; ++each) {
      if (values[each].data() == nullptr &&
          IsSameHeaderName(name, aNames[each])) {
        values[each] = value;
      }
    }
  }
  return values;
}

/** Whether this header is present. */
bool
HasHeader(const Headers& aHeaders, std::string_view aName);
bool
HasHeader(const HeaderBlock& aHeaders, std::string_view aName);

/**
 * The end-to-end headers: without hop-by-hop headers and those that
 * `Connection` names. Framing headers (Content-Length, Transfer-Encoding) and
 * Expect are left out as well.
 */
Headers
EndToEndHeaders(const boost::beast::http::fields& aFields);
HeaderBlock
EndToEndHeaders(const HeaderBlock& aFields);

/** Appends `Name: value` and a line end. */
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

} // namespace trefoilgate

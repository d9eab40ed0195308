#pragma once

#include "libtrefoilarch/messages.h"

#include <boost/beast/http/fields.hpp>

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

/** Whether this header is present. */
bool
HasHeader(const Headers& aHeaders, std::string_view aName);

/**
 * The end-to-end headers: without hop-by-hop headers and those that
 * `Connection` names. Framing headers (Content-Length, Transfer-Encoding) and
 * Expect are left out as well.
 */
Headers
EndToEndHeaders(const boost::beast::http::fields& aFields);

/** Appends `Name: value` and a line end. */
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

} // namespace trefoilgate

#pragma once

#include "libtrefoilarch/messages.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace trefoilgate {

using trefoilarch::Headers;

/** Whether two header names are the same, whatever their case. */
bool
IsSameHeaderName(std::string_view aLeft, std::string_view aRight);

/** The first value of that name, or an empty text. */
std::string_view
HeaderValue(const Headers& aHeaders, std::string_view aName);

/** Whether there is a header of that name. */
bool
HasHeader(const Headers& aHeaders, std::string_view aName);

/**
 * The headers that travel end to end: without those that concern only one
 * connection, the ones that `Connection` names among them. Framing headers
 * (Content-Length, Transfer-Encoding) and Expect are left out as well.
 */
Headers
EndToEndHeaders(const boost::beast::http::fields& aFields);

/** Appends `Name: value` and a line end. */
void
AppendField(std::string& aText,
            std::string_view aName,
            std::string_view aValue);

} // namespace trefoilgate

#include "httpmessage.h"

#include <algorithm>

namespace trefoilio {

namespace {

char
LowerCase(char aLetter)
{
  const bool upper = aLetter >= 'A' && aLetter <= 'Z';
  return upper ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

bool
IsControl(char aLetter)
{
  const auto code = static_cast<unsigned char>(aLetter);
  return (code < 0x20 && code != '\t') || code == 0x7f;
}

} // namespace

bool
SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, LowerCase, LowerCase);
}

bool
SafeHeader(std::string_view aName, std::string_view aValue)
{
  const auto bad = [](char aLetter) {
    return IsControl(aLetter) || aLetter == ':' || aLetter == ' ';
  };
  return !aName.empty() && std::ranges::none_of(aName, bad) &&
         std::ranges::none_of(aValue, IsControl);
}

std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (SameHeaderName(name, aName)) {
      return value;
    }
  }
  return {};
}

} // namespace trefoilio

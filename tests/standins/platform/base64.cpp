#include "base64.h"

#include <boost/beast/core/detail/base64.hpp>

#include <stdexcept>

namespace standin {

namespace base64 = boost::beast::detail::base64;

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::string
DecodeBase64(const std::string& aText)
{
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  const auto [written, read] =
    base64::decode(bytes.data(), aText.data(), aText.size());
  if (aText.find_first_not_of('=', read) != std::string::npos) {
    throw std::invalid_argument("not base64");
  }
  bytes.resize(written);
  return bytes;
}

} // namespace standin

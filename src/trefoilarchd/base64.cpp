#include "base64.h"

#include <openssl/evp.h>

namespace trefoilarch {

std::string
ToBase64(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

std::optional<std::string>
FromBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(length) - padding);
  return bytes;
}

} // namespace trefoilarch

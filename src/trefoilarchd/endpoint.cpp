#include "endpoint.h"

namespace trefoilarch {

std::string
Endpoint::Text() const
{
  return mAddress + ":" + std::to_string(mPort);
}

Endpoint
Endpoint::FromText(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  return Endpoint{ .mAddress = aText.substr(0, colon),
                   .mPort = static_cast<uint16_t>(
                     std::stoul(aText.substr(colon + 1))) };
}

} // namespace trefoilarch

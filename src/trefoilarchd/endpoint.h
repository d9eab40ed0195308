#pragma once

#include <cstdint>
#include <string>

namespace trefoilarch {

/** An address and a port to listen on or to connect to. */
struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;

  /** `ADDRESS:PORT`. */
  std::string Text() const;

  /** Parses `ADDRESS:PORT`, which the settings have validated. */
  static Endpoint FromText(const std::string& aText);

  bool operator==(const Endpoint&) const = default;
};

} // namespace trefoilarch

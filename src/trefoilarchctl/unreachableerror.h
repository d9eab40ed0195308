#pragma once

#include <stdexcept>

namespace trefoilarchctl {

/** No operator port gave a usable response; nothing was changed. */
class UnreachableError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace trefoilarchctl

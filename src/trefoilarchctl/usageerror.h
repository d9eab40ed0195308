#pragma once

#include <stdexcept>

namespace trefoilarchctl {

/** The command line, or a file it names, is not as it must be. */
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace trefoilarchctl

#pragma once

#include <stdexcept>

namespace trefoilarchctl {

/** The command line or a file that it names is invalid. */
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace trefoilarchctl

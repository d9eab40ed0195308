#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/** Passes the input to the reader under test. A fault is a crash, a report of a
 * sanitizer or an exception. */
void
ReadInput(std::string_view aInput);

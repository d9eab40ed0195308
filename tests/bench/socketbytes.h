#pragma once

#include <cstdint>
#include <map>

namespace bench {

/**
 * Bytes that the open connections of each listening TCP port of this machine
 * have carried both ways so far, headers of TCP and IP left out; asked of the
 * kernel (sock_diag). Empty where the kernel does not tell.
 */
std::map<uint16_t, uint64_t>
BytesByLocalPort();

} // namespace bench

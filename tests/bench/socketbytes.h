#pragma once

#include <cstdint>
#include <map>

namespace bench {

/**
 * Returns the payload bytes sent and received so far on the open connections
 * of each local TCP port, without TCP and IP headers; read from the kernel
 * (sock_diag). Empty if the kernel does not provide them.
 */
std::map<uint16_t, uint64_t>
BytesByLocalPort();

} // namespace bench

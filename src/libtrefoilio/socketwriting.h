#pragma once

#include <chrono>
#include <string_view>

namespace trefoilio {

/** Resets a TCP connection immediately, even if its end was shut down. */
void
ResetConnection(int aSocket);

/**
 * Sets whether a close resets the connection, also the kernel's if the process
 * ends. A body that ends with its connection is cut visibly in no other way.
 */
void
SetResetOnClose(int aSocket, bool aReset);

/** Writes everything, and waits aTimeout at most for a receiver that does not
 * read. Returns false if the connection failed. */
bool
WriteAll(int aSocket,
         std::string_view aBytes,
         std::chrono::milliseconds aTimeout);

} // namespace trefoilio

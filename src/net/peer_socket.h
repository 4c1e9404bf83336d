// Asks the kernel's socket table about the other end of a connection.
#pragma once

#include "net/net.h"

namespace radishford {

// True when the peer's socket belongs to this machine and a process holds it open. A peer that has closed only its sending side cannot be told from one that
// has closed its socket in any other way before something is written. False when the kernel does not tell.
bool isPeerSocketOpen(const tcp::socket &socket);

} // namespace radishford

// Comparison of suspects between daemons. Each heartbeat carries a hash of the sender's suspects; two daemons whose hashes differ send each other their
// records, so that a daemon that has started, joined or was cut off learns what it has missed.
#pragma once

#include "fleet/datagram_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Hash of all suspects that other daemons should know; zero when there are none.
std::uint64_t suspectsHash(const World &world);

// Sends suspects to a daemon whose hash differs: those in quarantine first, and no more than fit into a few datagrams. The others follow with later heartbeats.
void sendSuspectsIfDifferent(World &world, const Address &to, std::uint64_t hash);

// Merges the suspects of another daemon.
void handleDatagram(World &world, const Address &from, const SuspectUpdate &update);

} // namespace radishford

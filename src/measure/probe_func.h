// Probes backend servers whose load is not known from the responses to calls.
#pragma once

#include "core/clock_type.h"
#include "fleet/datagram_type.h"

namespace radishford {

struct World;

// Replies to a probe with the current load. Probes for another service are ignored. The reply counts against the measurement budget.
void handleDatagram(World &world, const Address &from, const Probe &probe);

// Stores the load report of a probe reply, if it comes from the instance that is known at the address.
void handleDatagram(World &world, const Address &from, const ProbeReply &reply);

// Records that a service was called through this daemon, so that its backend servers are probed for a while.
void markServiceActive(World &world, const ServiceName &service);

// Probes backend servers of active services whose load is unknown or outdated. Servers in other regions are probed only while no server in
// this daemon's region is ready.
void runProbes(World &world);

// Returns the time of the next probe round, or never() while no service is active.
Millis nextProbesDue(const World &world);

} // namespace radishford

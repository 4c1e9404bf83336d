// Probes for load that traffic does not report.
#pragma once

#include "core/clock_type.h"
#include "fleet/gossip_type.h"

namespace radishford {

struct World;

// Answers a probe within the budget.
void take(World &world, const Address &from, const Probe &probe);

// Takes the report of a probe's answer.
void take(World &world, const Address &from, const ProbeReply &reply);

// Remembers that a service is called from here, so that its backend servers are worth probing.
void noteActive(World &world, const ServiceName &service);

// Probes backend servers of active services whose load is unknown, near ones only while any is ready.
void runProbe(World &world);

// When the probe system must run next.
Millis nextProbe(const World &world);

} // namespace radishford

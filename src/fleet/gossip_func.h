// Heartbeats between daemons and the spreading of instance records.
#pragma once

#include "core/clock_type.h"
#include "fleet/gossip_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Creates the own row and contacts the seeds in the first tick.
void startFleet(World &world);

// Handles one datagram of any kind.
void handle(World &world, const DatagramArrived &event);

// Raises the own record's version so that it wins over a record that others spread about this instance.
void refute(World &world, const InstanceRecord &rumour);

// Writes the own record anew from the state of the backend server, and spreads it.
void publishSelf(World &world, Health health);

// Sends a heartbeat to an address of which only the store or the settings tell.
void contact(World &world, const Address &address);

// Sends a heartbeat to one daemon in each failure domain at once, so that a change need not wait for its turn.
void announceWidely(World &world);

// Sends heartbeats, declares failures, repairs differing tables.
void runMembership(World &world);

// When the membership system must run next.
Millis nextMembership(const World &world);

} // namespace radishford

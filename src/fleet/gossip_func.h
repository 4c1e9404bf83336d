// Heartbeats between daemons and the dissemination of instance records.
#pragma once

#include "core/clock_type.h"
#include "fleet/datagram_type.h"
#include "world/event_type.h"

namespace radishford {

struct World;

// Creates the row of this daemon and schedules the first heartbeat, which also pings the seeds, for the first tick.
void initFleetTable(World &world);

// Handles one received datagram by its type.
void handle(World &world, const DatagramArrived &event);

// Raises the version of this daemon's record above that of a record received about it, so that the local one supersedes it.
void refute(World &world, const InstanceRecord &received);

// Rebuilds this daemon's record from the state of the backend server, raises its version and queues it for gossip. After the decision to exit the
// record says that the daemon has left.
void publishOwnRecord(World &world);

// Sends a heartbeat to an address that is known from the store or the settings only.
void pingAddress(World &world, const Address &address);

// Sends a heartbeat to one daemon in each failure domain immediately, so that a change does not wait for the next period.
void pingOneDaemonPerDomain(World &world);

// Sends due heartbeats, marks silent daemons as suspect or dead, and removes old rows.
void runMembership(World &world);

// Time at which the membership system is due.
Millis nextMembershipDue(const World &world);

} // namespace radishford

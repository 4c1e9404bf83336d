// Ids, states and gossip records of instances.
#pragma once

#include "core/address.h"
#include "core/pool.h"
#include "core/units_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Names a row of the instance table.
using InstanceId = PoolId<struct InstanceTag>;

// Whether the daemon of an instance is believed to run. Later values win over earlier ones at equal versions.
enum class Health : std::uint8_t {
    Alive, // Answers pings.
    Suspect, // Missed a ping and has not refuted it yet.
    Dead, // Missed pings for the whole suspicion time.
    Left, // Said goodbye.
};

// State of the backend server beside a daemon.
enum class BackendState : std::uint8_t {
    Absent, // Not announced, or its announcement lapsed.
    Starting, // Announced, but takes no requests yet.
    Ready, // Takes requests.
    Draining, // Finishes what is in flight.
};

// What gossip spreads about one instance. Only the instance itself raises its version.
struct InstanceRecord {
    // Unique name.
    InstanceName name_;
    // Address of the daemon for TCP and UDP.
    Address address_;
    // Address of the daemon's admin pages.
    Address adminAddress_;
    // Failure domain, by name, since lists of places may differ in order.
    std::string failureDomain_;
    // Start number of the daemon.
    Incarnation incarnation_;
    // Counts changes within one incarnation.
    std::uint32_t version_ = 0;
    // Whether the daemon runs.
    Health health_ = Health::Alive;
    // Service of the backend server; empty when there is none.
    ServiceName service_;
    // Slots of the backend server.
    Slots slots_;
    // State of the backend server.
    BackendState backend_ = BackendState::Absent;
};

} // namespace radishford

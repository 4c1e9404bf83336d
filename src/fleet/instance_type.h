// Ids, states and gossip records of instances.
#pragma once

#include "core/address.h"
#include "core/pool.h"
#include "core/units_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Id of a row of the instance table.
using InstanceId = PoolId<struct InstanceTag>;

// Whether the daemon of an instance is believed to run. At equal versions a later value supersedes an earlier one.
enum class Health : std::uint8_t {
    Alive, // Acknowledges pings.
    Suspect, // Missed a ping and has not refuted it yet.
    Dead, // Did not refute the suspicion within its timeout.
    Left, // Announced its shutdown.
};

// State of a daemon's local backend server.
enum class BackendState : std::uint8_t {
    Absent, // Not announced, or its announcement has expired.
    Starting, // Announced, but does not accept requests yet.
    Ready, // Accepts requests.
    Draining, // Finishes the requests in flight and accepts no new ones.
};

// One start of a backend server.
struct BackendStart {
    // Id of the server; empty when it has none. A server may start again under the same id.
    BackendId id_;
    // Start number of the server; zero when it does not name one.
    Incarnation incarnation_;
    bool operator==(const BackendStart &) const = default;
};

// Returns the hash that names a start of a backend server in messages; zero without an id.
BackendStartHash hashOf(const BackendStart &start);

// Record of one instance that gossip disseminates. Only the instance itself raises the version.
struct InstanceRecord {
    // Unique name.
    InstanceName name_;
    // Address of the daemon for TCP and UDP.
    Address address_;
    // Address of the daemon's admin pages.
    Address adminAddress_;
    // Failure domain by name, since the order of the list of places may differ between daemons.
    std::string failureDomain_;
    // Start number of the daemon; a later start has a higher one unless the clock stepped back.
    Incarnation incarnation_;
    // Counts changes within one incarnation.
    std::uint32_t version_ = 0;
    // Whether the daemon is believed to run.
    Health health_ = Health::Alive;
    // Service of the backend server; empty when there is none.
    ServiceName service_;
    // Concurrent requests that the backend server accepts.
    Slots slots_;
    // State of the backend server.
    BackendState backend_ = BackendState::Absent;
    // The start of the backend server that is announced now, if it has deregistered or stated that it leaves; zero otherwise.
    BackendStartHash leavingBackend_{};
};

} // namespace radishford

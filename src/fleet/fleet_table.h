// The instance table and the state of the heartbeat protocol.
#pragma once

#include "fleet/gossip_type.h"
#include "fleet/instance_base.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace radishford {

// A ping that has not been acknowledged.
struct PendingPing {
    std::uint32_t sequence_ = 0;
    // Target; invalid when only an address is known.
    InstanceId target_;
    Millis sentAt_;
    // True once others were asked to ping the target.
    bool indirect_ = false;
};

// A ping sent on behalf of another daemon.
struct RelayedPing {
    std::uint32_t sequence_ = 0;
    // Who asked, and by which sequence.
    Address asker_;
    std::uint32_t askerSequence_ = 0;
    Millis sentAt_;
};

// Instances known to this daemon.
struct FleetTable {
    Pool<Instance, InstanceId> rows_;
    std::unordered_map<InstanceName, InstanceId, StrongHash> byName_;
    std::map<Address, InstanceId> byAddress_;
    // Instances whose record names the service, whatever their state.
    std::unordered_map<ServiceName, std::vector<InstanceId>, StrongHash> byService_;
    // Instances by failure domain index.
    std::vector<std::vector<InstanceId>> byDomain_;
    // Rows whose health is alive or suspect.
    std::size_t running_ = 0;
    // Own row.
    InstanceId self_;
    // Exclusive or of the hashes of live rows.
    std::uint64_t tableHash_ = 0;
    // Rows whose record still has transmissions left.
    std::deque<InstanceId> fresh_;
    // Rows in suspicion.
    std::vector<InstanceId> suspects_;
    // Next position of the sweep that repairs differing tables.
    std::size_t syncSweep_ = 0;
    // Next position of the sweep that forgets old rows.
    std::size_t forgetSweep_ = 0;
    std::uint32_t sequence_ = 0;
    Millis nextPingAt_;
    // When the table may be sent to a joining daemon again.
    Millis nextTableAt_;
    // Periods since start.
    std::uint64_t periods_ = 0;
    std::vector<PendingPing> pending_;
    std::vector<RelayedPing> relayed_;
};

} // namespace radishford

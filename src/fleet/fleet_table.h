// Instance table and state of the heartbeat protocol.
#pragma once

#include "fleet/datagram_type.h"
#include "fleet/instance_base.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace radishford {

// A ping that is waiting for its acknowledgement.
struct PendingPing {
    std::uint32_t sequence_ = 0;
    // Target; invalid when only an address is known.
    InstanceId target_;
    Millis sentAt_;
    // True once other daemons have been asked to ping the target.
    bool isIndirectRequested_ = false;
};

// A ping sent on behalf of another daemon.
struct RelayedPing {
    std::uint32_t sequence_ = 0;
    // Daemon that requested the ping, and the sequence number that its acknowledgement must carry.
    Address requester_;
    std::uint32_t requesterSequence_ = 0;
    Millis sentAt_;
};

// Instances known to this daemon, the indexes over them, and the state of the heartbeat protocol.
struct FleetTable {
    Pool<Instance, InstanceId> rows_;
    std::unordered_map<InstanceName, InstanceId, StrongHash> byName_;
    std::map<Address, InstanceId> byAddress_;
    // Instances whose record names the service, in any state.
    std::unordered_map<ServiceName, std::vector<InstanceId>, StrongHash> byService_;
    // Instances by failure domain index.
    std::vector<std::vector<InstanceId>> byDomain_;
    // Number of rows whose health is alive or suspect.
    std::size_t runningCount_ = 0;
    // Row of this daemon.
    InstanceId self_;
    // Exclusive or of the hashes of all running rows. Daemons compare it to detect that their tables differ.
    std::uint64_t tableHash_ = 0;
    // Rows whose record must still be sent to other daemons.
    std::deque<InstanceId> gossipQueue_;
    // Rows whose health is suspect.
    std::vector<InstanceId> suspectRows_;
    // Row at which the next synchronisation of differing tables continues.
    std::size_t nextSyncRow_ = 0;
    // Row at which the next removal of old rows continues.
    std::size_t nextRemovalRow_ = 0;
    std::uint32_t sequence_ = 0;
    Millis nextPingAt_;
    // Earliest time at which the table may be sent to a joining daemon again.
    Millis nextJoinTransferAt_;
    // Heartbeat periods since the start.
    std::uint64_t periodCount_ = 0;
    std::vector<PendingPing> pendingPings_;
    std::vector<RelayedPing> relayedPings_;
};

} // namespace radishford

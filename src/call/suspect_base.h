// Rows about requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace radishford {

// A request under suspicion.
struct Suspect {
    // Ids of backend server failures while it ran; merged by union, so that failures at the same time all count.
    std::set<std::uint64_t> failures_;
    // True when operators forbid it.
    bool isQuarantinedByOperator_ = false;
    // Forgotten after this time.
    Millis until_;
};

// A notice that waits for acknowledgements. The failed exchange is answered afterwards, so that a repeat of the request meets informed daemons.
struct SuspectBroadcast {
    std::uint64_t token_ = 0;
    Fingerprint fingerprint_;
    // Who has not acknowledged.
    std::vector<InstanceId> unacknowledged_;
    std::int32_t sends_ = 0;
    Millis nextSendAt_;
    // Exchange to fail when the notice is settled.
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
};

// Requests under suspicion.
struct SuspectTable {
    std::unordered_map<Fingerprint, Suspect, StrongHash> rows_;
    std::vector<SuspectBroadcast> broadcasts_;
    // When expired rows are next looked for.
    Millis nextSweepAt_;
};

} // namespace radishford

// Rows of requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace radishford {

// A request that may have crashed a backend server.
struct Suspect {
    // Ids of the backend server failures while it ran. They are merged by set union, so that concurrent failures on several daemons all count.
    std::set<std::uint64_t> failures_;
    // True when an operator quarantined it.
    bool isQuarantinedByOperator_ = false;
    // The row is removed after this time.
    Millis expiresAt_;
};

// A notice that waits for acknowledgements. The failed exchange is ended afterwards, so that a retry of the request reaches daemons that
// already know the suspect.
struct SuspectBroadcast {
    std::uint64_t token_ = 0;
    Fingerprint fingerprint_;
    // Daemons that have not acknowledged the notice.
    std::vector<InstanceId> unacknowledged_;
    std::int32_t sends_ = 0;
    Millis nextSendAt_;
    // Exchange to end when all daemons have acknowledged or the last resend has timed out.
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
};

// Suspects by fingerprint, and their notices in progress.
struct SuspectTable {
    std::unordered_map<Fingerprint, Suspect, StrongHash> rows_;
    std::vector<SuspectBroadcast> broadcasts_;
    // When expired rows are purged next.
    Millis nextSweepAt_;
};

} // namespace radishford

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
    // Random ids, one for each time that a backend server failure was counted against the request. They are merged by set union, so that
    // concurrent failures on several daemons all count.
    std::set<std::uint64_t> failures_;
    // True when an operator quarantined it.
    bool isQuarantinedByOperator_ = false;
    // The row is removed after this time.
    Millis expiresAt_;
};

// A notice that waits for acknowledgements. The failed exchange is ended afterwards, so that a retry of the request reaches daemons that
// already know the suspect.
struct PendingSuspectNotice {
    // Id of the notice; acknowledgements repeat it.
    std::uint64_t token_ = 0;
    Fingerprint fingerprint_;
    // Daemons that have not acknowledged the notice.
    std::vector<InstanceId> unacknowledged_;
    // Number of times that it was sent.
    std::int32_t sendCount_ = 0;
    Millis nextSendAt_;
    // Exchange to end when all daemons have acknowledged or the last resend has timed out.
    ExchangeHandle exchange_;
    // Attempt id of the outbound side, for the reply that ends the exchange.
    std::uint64_t attempt_ = 0;
};

// Suspects by fingerprint, and their notices in progress.
struct SuspectTable {
    std::unordered_map<Fingerprint, Suspect, StrongHash> rows_;
    std::vector<PendingSuspectNotice> pendingNotices_;
    // When expired rows are purged next.
    Millis nextPurgeAt_;
};

} // namespace radishford

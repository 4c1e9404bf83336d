// Rows of requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "call/suspect_type.h"
#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"

#include <unordered_map>
#include <vector>

namespace radishford {

// A request that may have crashed a backend server.
struct Suspect {
    // Sorted by id. Cleared ones are kept until they expire, so that a late record of them has no effect.
    std::vector<SuspectFailure> failures_;
    // True when an operator quarantined it; only an operator ends this.
    bool isQuarantinedByOperator_ = false;
    // True once the store holds its quarantine.
    bool isStored_ = false;
    // The failures are forgotten after this time.
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

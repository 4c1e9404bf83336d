// Idempotency keys on their way to the store.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/token_bucket.h"
#include "store/store_type.h"

#include <deque>
#include <map>
#include <vector>

namespace radishford {

// One admission's claim.
struct PendingClaim {
    AdmissionId admission_;
    ClaimInsert insert_;
    // Times it was sent.
    std::int32_t sendCount_ = 0;
};

// A request that the store has not answered.
struct ClaimRequest {
    // Claims in the request, in order.
    std::vector<PendingClaim> claims_;
    // True when it takes over a claim of an earlier attempt of the same call.
    bool takeOver_ = false;
    // True when it releases a claim.
    bool release_ = false;
};

// Claims and the state of the store as seen from here.
struct ClaimTable {
    std::deque<PendingClaim> waiting_;
    // Claims to take over, with the row to be replaced.
    std::deque<std::pair<PendingClaim, ClaimValue>> takeOvers_;
    // Claims of requests that were not run, to be deleted.
    std::deque<ClaimInsert> releases_;
    std::map<std::uint64_t, ClaimRequest> requests_;
    // This daemon's part of the fleet's writes.
    TokenBucket writeBucket_;
    // When the part was last worked out.
    Millis nextShareUpdateAt_;
    // Claims fail at once until this time.
    Millis failFastUntil_;
};

} // namespace radishford

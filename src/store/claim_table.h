// Claims of idempotency keys that wait for the store.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/token_bucket.h"
#include "store/store_type.h"

#include <deque>
#include <map>
#include <vector>

namespace radishford {

// Claim of one admission.
struct PendingClaim {
    AdmissionId admission_;
    ClaimInsert insert_;
    // Number of times the claim was sent.
    std::int32_t sendCount_ = 0;
};

// A pending request to the store.
struct ClaimRequest {
    // Claims in the request; the results of the response are in the same order.
    std::vector<PendingClaim> claims_;
    // True when it replaces a claim of an earlier attempt of the same call.
    bool isTakeOver_ = false;
    // True when it deletes a claim.
    bool isRelease_ = false;
};

// Queues of claims, pending requests and this daemon's write rate.
struct ClaimTable {
    std::deque<PendingClaim> waiting_;
    // Claims that replace the row of an earlier attempt, with that row.
    std::deque<std::pair<PendingClaim, ClaimValue>> takeOvers_;
    // Claims of requests that were not run, to be deleted.
    std::deque<ClaimInsert> releases_;
    std::map<std::uint64_t, ClaimRequest> requests_;
    // Limits the writes to this daemon's share of the fleet's rate.
    TokenBucket writeBucket_;
    // Time at which the share is computed next.
    Millis nextShareUpdateAt_;
    // New claims fail immediately until this time.
    Millis failFastUntil_;
};

} // namespace radishford

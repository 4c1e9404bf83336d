// Claims and releases of idempotency keys that wait to be sent or for the store's response.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/token_bucket.h"
#include "store/store_type.h"

#include <deque>
#include <map>
#include <vector>

namespace radishford {

// Claim of an idempotency key for one admission, waiting or sent.
struct PendingClaim {
    AdmissionId admission_;
    ClaimInsert insert_;
    // Number of times the claim was sent.
    std::int32_t sendCount_ = 0;
};

// A pending request to the store.
struct ClaimRequest {
    // Claims in the request; the results of the response are in the same order. A release contains one claim without an admission.
    std::vector<PendingClaim> claims_;
    // True when the request replaces a claim of an earlier attempt of the same call.
    bool isTakeOver_ = false;
    // True when the request deletes a claim. At most one of both flags is true.
    bool isRelease_ = false;
};

// Queues of claims, pending requests and this daemon's write rate.
struct ClaimTable {
    std::deque<PendingClaim> waiting_;
    // Claims that replace the row of an earlier attempt, each with the row's value to be replaced.
    std::deque<std::pair<PendingClaim, ClaimValue>> takeOvers_;
    // Claims of requests that were not run, to be deleted.
    std::deque<ClaimInsert> releases_;
    // Pending requests by store request id.
    std::map<std::uint64_t, ClaimRequest> requests_;
    // Limits the writes to an equal share of the fleet's write rate, storeWritesPerSecond.
    TokenBucket writeBucket_;
    // Time at which the share is computed next.
    Millis nextShareUpdateAt_;
    // New claims fail immediately until this time.
    Millis failFastUntil_;
};

} // namespace radishford

// Tables of the outbound side.
#pragma once

#include "call/call_base.h"
#include "core/token_bucket.h"

#include <unordered_map>
#include <vector>

namespace radishford {

// Calls and their attempts.
struct CallTable {
    Pool<Call, CallId> calls_;
    Pool<Attempt, AttemptId> attempts_;
    std::unordered_map<CallHandle, CallId, StrongHash> byHandle_;
    // Calls that need a new attempt in this tick.
    std::vector<CallId> pendingRouting_;
    // Token bucket that limits further attempts, by service.
    std::unordered_map<ServiceName, TokenBucket, StrongHash> retryBudgets_;
    // Shortest recent time from admission to the complete response, by class.
    ShortestTimes shortestResponses_;
    // Position of the round-robin strategy.
    std::uint64_t roundRobinPosition_ = 0;
};

} // namespace radishford

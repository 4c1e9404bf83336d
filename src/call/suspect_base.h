// Rows about requests that were running when a backend server failed.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/units_type.h"
#include "fleet/instance_type.h"

#include <unordered_map>
#include <vector>

namespace radishford {

// A request under suspicion.
struct Suspect {
    // Backend server failures while it ran.
    std::uint8_t failures_ = 0;
    // Forgotten after this time.
    Millis until_;
};

// A notice that waits for acknowledgements. The failed exchange is answered afterwards, so that a repeat of the request meets informed daemons.
struct SuspectSpread {
    std::uint64_t token_ = 0;
    Fingerprint fingerprint_;
    std::uint8_t failures_ = 0;
    // Who has not acknowledged.
    std::vector<InstanceId> awaiting_;
    std::int32_t sends_ = 0;
    Millis nextSendAt_;
    // Exchange to fail when the notice is settled.
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
};

// Requests under suspicion.
struct SuspectTable {
    std::unordered_map<Fingerprint, Suspect, StrongHash> rows_;
    std::vector<SuspectSpread> spreads_;
    // When expired rows are next looked for.
    Millis nextSweepAt_;
};

} // namespace radishford

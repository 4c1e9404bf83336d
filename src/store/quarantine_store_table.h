// State of the system that keeps quarantines in the platform's store, for the loss of all daemons.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace radishford {

// A row of the store to write or to delete.
struct QuarantineChange {
    Fingerprint fingerprint_;
    bool isRemoval_ = false;
    // True when the row must be written although it was written before: it was deleted since, or the store was restored from an older copy.
    bool isRepeated_ = false;
};

// Changes that wait or are pending.
struct QuarantineStoreTable {
    std::deque<QuarantineChange> waiting_;
    // The change whose request is pending, and the id of the request.
    std::optional<QuarantineChange> pending_;
    std::uint64_t pendingRequest_ = 0;
    Millis nextAt_;
    std::int32_t consecutiveFailures_ = 0;
};

} // namespace radishford

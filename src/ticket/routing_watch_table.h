// State of the reads and watches of the desired state.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

// Pending request and position in the store's history.
struct RoutingWatchTable {
    // Id of the pending read or watch, or zero.
    std::uint64_t storeRequestId_ = 0;
    // True when the pending request is a watch, false when it is a read.
    bool isWatch_ = false;
    // Revision to watch from; valid only when hasRevision_ is true.
    StoreRevision watchFrom_;
    // True once a read has returned a revision; false again after a failure, or when the store no longer keeps the history from it on.
    bool hasRevision_ = false;
    // Time at which the hold time of the latest watch ends.
    Millis heldUntil_;
    // Time of the next request while none is pending.
    Millis nextRequestAt_;
    // Number of failed requests in a row.
    std::int32_t failures_ = 0;
    // Number of watches in a row from whose position on the store did not keep the history.
    std::int32_t compactions_ = 0;
};

} // namespace radishford

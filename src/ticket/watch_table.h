// The watch on the desired state in the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

// How this daemon follows the desired state.
struct WatchTable {
    // Running read or watch, or zero.
    std::uint64_t request_ = 0;
    // True when the running request is a watch.
    bool isWatch_ = false;
    // Position in the store's history to watch from; meaningless until hasRevision_.
    StoreRevision watchFrom_;
    // True once a read told the position.
    bool hasRevision_ = false;
    // When the next request is due while none runs.
    Millis nextRequestAt_;
    // Requests in a row without a usable answer.
    std::int32_t failures_ = 0;
};

} // namespace radishford

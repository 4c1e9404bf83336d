// Calls and repeats of late, by service.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <deque>
#include <unordered_map>

namespace radishford {

// Calls and repeats of one service within the window.
struct RepeatRow {
    // When each call was taken, oldest first.
    std::deque<Millis> calls_;
    // When each repeat was sent, oldest first.
    std::deque<Millis> repeats_;
};

// By service.
struct RepeatTable {
    std::unordered_map<ServiceName, RepeatRow, StrongHash> rows_;
};

} // namespace radishford

// Recent calls and retries, by service.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <deque>
#include <unordered_map>

namespace radishford {

// Calls and retries of one service within the window.
struct RetryWindow {
    // Time at which each call was accepted, oldest first.
    std::deque<Millis> calls_;
    // Time at which each retry was sent, oldest first.
    std::deque<Millis> retries_;
};

// Sliding windows by service; a row is created at the first call or retry of a service.
struct RetryWindowTable {
    std::unordered_map<ServiceName, RetryWindow, StrongHash> rows_;
};

} // namespace radishford

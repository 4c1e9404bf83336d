// Load report that an inbound side sends about its backend server.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

namespace radishford {

// Load of one backend server, measured by the daemon that all its requests pass through.
struct LoadReport {
    // Requests that occupy a slot.
    Slots inFlight_;
    // Requests that wait for a slot.
    Slots queued_;
    // Slots that may be used now; fewer than announced while the backend server warms up. Zero when there is no report.
    Slots limit_;
    // Moving average of the time from hand-over to the complete response.
    Millis latency_;
    // Current service time relative to the usual one, 100 meaning as usual; zero when the backend server does not report it.
    Percent slowness_;
    // Number of responses completed while nearly all slots were in use, in the current series of samples, and the sum of their service
    // times relative to the usual one. The servers of a service share these figures to find out whether they slow down near full load.
    std::int32_t nearFullSamples_ = 0;
    Percent nearFullSlownessSum_;
    // Share of recent requests that the backend server failed, independent of the result of its health check.
    Percent failureShare_;
    // Mean time between two requests that the backend server's request limit allows, and the time until it allows one more than those admitted and queued.
    // Both are zero without a limit.
    Millis requestInterval_{};
    Millis limitWait_{};
};

} // namespace radishford

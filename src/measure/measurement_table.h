// State of the measurement budget and of the probe system.
#pragma once

#include "core/clock_type.h"
#include "core/token_bucket.h"
#include "core/units_type.h"
#include "ticket/ticket_type.h"

#include <map>
#include <vector>

namespace radishford {

// Token buckets for bytes and probes, either of this daemon or of one target region.
struct MeasurementBuckets {
    TokenBucket bytes_;
    TokenBucket probes_;
};

// Measurement budget, services to probe and time of the next probe round.
struct MeasurementTable {
    // Active budget.
    MeasurementBudgetSpec spec_;
    // Limit of this daemon over all targets.
    MeasurementBuckets daemonBuckets_;
    // This daemon's share of each region pair's limit, by index of the other region. Buckets of pairs without a limit stay empty.
    std::vector<MeasurementBuckets> regionBuckets_;
    // Number of daemons by which the pair limits are divided now.
    std::int64_t pairLimitDivisor_ = 1;
    // Services called recently through this daemon, with the time of the latest call.
    std::map<ServiceName, Millis> activeServices_;
    // Time of the next probe round; never() while no service is active.
    Millis nextProbeAt_ = Millis::never();
    std::uint64_t lastProbeToken_ = 0;
};

} // namespace radishford

// Measuring budget and probes in flight.
#pragma once

#include "core/clock_type.h"
#include "core/token_bucket.h"
#include "core/units_type.h"
#include "ticket/ticket_type.h"

#include <map>
#include <vector>

namespace radishford {

// Buckets of one target.
struct MeasureBuckets {
    TokenBucket bytes_;
    TokenBucket probes_;
};

// How many daemons a region's pair limits are divided by, and since when.
struct MeasureTable {
    // Budget in force.
    BudgetSpec spec_;
    // This daemon's own limit.
    MeasureBuckets daemonBuckets_;
    // This daemon's part of each region pair's limit, by index of the other region; empty for pairs without a limit of their own.
    std::vector<MeasureBuckets> toRegion_;
    // Divisor in use.
    std::int64_t sharers_ = 1;
    // Services called recently and when.
    std::map<ServiceName, Millis> activeServices_;
    // Next probing round.
    Millis nextProbeAt_ = Millis::never();
    std::uint64_t lastProbeToken_ = 0;
};

} // namespace radishford

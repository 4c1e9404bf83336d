// Row of the instance table.
#pragma once

#include "core/clock_type.h"
#include "fleet/instance_type.h"
#include "measure/load_type.h"

#include <vector>

namespace radishford {

// One instance as this daemon knows it.
struct Instance {
    // What gossip spreads.
    InstanceRecord record_;
    // Index of the failure domain in this daemon's places.
    FailureDomainId domain_;
    // Region of the failure domain.
    RegionId region_;
    // When health_ last changed here.
    Millis healthSince_;
    // How many more messages carry this record.
    std::int32_t transmitsLeft_ = 0;
    // Latest load report.
    LoadReport report_;
    // When the report was received; never() when there was none.
    Millis reportedAt_ = Millis::never();
    // Own attempts there that have not ended.
    std::int32_t outstanding_ = 0;
    // Own attempts started since the latest report.
    std::int32_t startedSinceReport_ = 0;
    // Not chosen before this time, after a refusal or failure.
    Millis avoidUntil_;
    // Failures in a row, for longer avoidance.
    std::int32_t failures_ = 0;
    // When the instance last answered an offer or sent an answer to this daemon.
    Millis heardAt_;
    // When a probe was last sent.
    Millis probedAt_;
};

} // namespace radishford

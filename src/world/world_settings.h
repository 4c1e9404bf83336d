// Settings of the decision library.
#pragma once

#include "core/address.h"
#include "core/clock_type.h"
#include "core/units_type.h"
#include "measure/strategy_type.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishford {

// One failure domain of the deployment.
struct Place {
    std::string failureDomain_;
    std::string region_;
};

// What one daemon knows from its settings alone.
struct WorldSettings {
    InstanceName name_;
    // Daemon protocol, TCP and UDP.
    Address address_;
    Address adminAddress_;
    std::string failureDomain_;
    // All failure domains.
    std::vector<Place> places_;
    // Daemons to contact first.
    std::vector<Address> seeds_;
    // Start number of this process.
    Incarnation incarnation_;
    // Most calls and most admissions at a time.
    std::size_t maxCalls_ = 2000;
    // Reads of new tickets by the whole fleet.
    double storePollsPerSecond_ = 2.0;
    // Writes by the whole fleet.
    double storeWritesPerSecond_ = 300.0;
    // Strategy of choice; others than the first are baselines for measurements.
    StrategyKind strategy_ = StrategyKind::LoadThenLatency;
    // False never runs idempotent calls at two backend servers: a baseline for measurements.
    bool hedging_ = true;
    // False lets queued requests run without Go and makes no second offers: a baseline for measurements.
    bool lateBinding_ = true;
};

} // namespace radishford

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

// Settings of one daemon that decisions depend on.
struct WorldSettings {
    InstanceName name_;
    // Address of the daemon protocol, for TCP and UDP.
    Address address_;
    Address adminAddress_;
    std::string failureDomain_;
    // All failure domains of the deployment.
    std::vector<Place> places_;
    // Daemons to ping first.
    std::vector<Address> seeds_;
    // Start number of this process, taken from its clock.
    Incarnation incarnation_;
    // Maximum number of concurrent calls, and of concurrent admissions.
    std::size_t maxCalls_ = 2000;
    // Rate at which all daemons together read new tickets from the store.
    double storePollsPerSecond_ = 2.0;
    // Maximum rate at which all daemons together write to the store.
    double storeWritesPerSecond_ = 300.0;
    // Load balancing strategy; all others than the default are baselines for measurements.
    StrategyKind strategy_ = StrategyKind::LoadThenLatency;
    // False disables hedged attempts of idempotent calls, as a baseline for measurements.
    bool isHedgingEnabled_ = true;
    // True when calls are routed by a desired state in the platform's store, and daemons discover each other through the store.
    bool isRouted_ = false;
    // Service and address of the local backend server; announcements of others are ignored. Only used with isRouted_.
    ServiceName backendService_;
    Address backendAddress_;
    // An announcement expires when it is not repeated within this time.
    Millis announcementLease_{2500};
    // Retries that all daemons together may send to the backend servers of a service within the window: a share of the calls plus a
    // fixed number.
    Percent retryWindowShare_{20};
    std::int32_t retryWindowAllowance_ = 20;
    Millis retryWindow_{10000};
    // Bytes per second that the network link of this machine carries in each direction; zero when unknown.
    Bytes linkBytesPerSecond_;
    // Health checks of the local backend server per second.
    double backendChecksPerSecond_ = 0;
    // Durations since the request to shut down: the daemon keeps serving for at least the first one, accepts calls until the second
    // one if it is set, and exits after the third one at the latest.
    Millis minShutdownTime_{500};
    Millis refuseCallsAfter_ = Millis::never();
    Millis maxShutdownTime_ = Millis::never();
    // False runs queued routed requests in order of arrival, as a baseline for measurements.
    bool schedulesByLatencyTarget_ = true;
    // False ignores failed requests when an instance is selected, as a baseline for measurements.
    bool usesFailureShare_ = true;
    // False lets queued requests run without confirmation and makes no second offers, as a baseline for measurements.
    bool isLateBindingEnabled_ = true;
};

} // namespace radishford

// Selects the backend server for an attempt.
#pragma once

#include "core/clock_type.h"
#include "core/random.h"
#include "fleet/instance_type.h"
#include "measure/load_report_type.h"
#include "measure/strategy_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace radishford {

struct Call;
struct Instance;
struct World;

// A backend server that may be selected, as seen by this daemon.
struct Candidate {
    InstanceId instance_;
    Slots slots_;
    // Latest load report; its limit is zero when there is none.
    LoadReport report_;
    // Age of the report, zero when there is none.
    Millis reportAge_;
    // Attempts of this daemon at the instance that have not ended.
    std::int32_t outstandingAttempts_ = 0;
    // Attempts of this daemon started since the report, which the report does not include.
    std::int32_t attemptsSinceReport_ = 0;
    // Round trip time on the network.
    Millis roundTrip_;
};

// State that strategies use besides the candidates.
struct SelectionContext {
    Random &random_;
    // Number of selections so far; round robin selects by it.
    std::uint64_t &roundRobinCounter_;
};

// Returns the index of the selected candidate. The list must not be empty.
using SelectionFunction = std::size_t (*)(SelectionContext &context, const std::vector<Candidate> &candidates);

// Returns the function that implements a strategy.
SelectionFunction selectionFunction(StrategyKind kind);

// Returns the strategy's name in reports, such as "round-robin".
std::string_view strategyName(StrategyKind kind);

// Selects an instance for the next attempt of a call: first among ready instances of this daemon's region; among those of other regions
// when the selected one is full or there is none; last among instances that are considered dead, since an offer costs little and shows
// whether the instance still works. Routed calls are selected by predicted latency when that strategy is set. Returns an invalid id when no
// instance is eligible.
InstanceId selectInstance(World &world, const Call &call);

// Stores an instance's load report and resets its count of failures. A report with a limit of zero is ignored.
void recordLoadReport(World &world, Instance &instance, const LoadReport &report);

// Returns the lowest mean latency that any instance of the service has reported, or zero when none has.
Millis lowestReportedLatency(const World &world, const ServiceName &service);

// Records an instance as full after it queued or refused an offer because no slot was free.
void markFull(World &world, Instance &instance);

// Excludes an instance from selection after a failure, twice as long with each further failure in a row, up to a maximum.
void excludeTemporarily(World &world, Instance &instance);

} // namespace radishford

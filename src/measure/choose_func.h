// Choice of a backend server for one attempt.
#pragma once

#include "core/clock_type.h"
#include "core/random.h"
#include "fleet/instance_type.h"
#include "measure/load_type.h"
#include "measure/strategy_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace radishford {

struct Call;
struct Instance;
struct World;

// One backend server that may be chosen, as seen from this daemon.
struct Candidate {
    InstanceId instance_;
    Slots slots_;
    // Latest report; its limit is zero when there is none.
    LoadReport report_;
    // Age of the report.
    Millis reportAge_;
    // Own attempts there that have not ended.
    std::int32_t outstanding_ = 0;
    // Own attempts started since the report.
    std::int32_t startedSinceReport_ = 0;
    // Round trip on the network.
    Millis roundTrip_;
};

// What strategies may use besides the candidates.
struct ChoiceContext {
    Random &random_;
    // Counts choices, for round robin.
    std::uint64_t &roundRobinCounter_;
};

// Returns the index of the chosen candidate. There is at least one.
using Strategy = std::size_t (*)(ChoiceContext &context, const std::vector<Candidate> &candidates);

// The function of a strategy.
Strategy strategyOf(StrategyKind kind);

// The strategy's name on reports.
std::string_view nameOf(StrategyKind kind);

// Chooses an instance for a further attempt of a call: ready ones of the near region first; of others when the near
// choice is full or there is none; then
// those that are held for dead, since an offer tells for certain and costs little. Invalid when there is none.
InstanceId chooseInstance(World &world, const Call &call);

// Takes a load report of an instance.
void takeReport(World &world, Instance &instance, const LoadReport &report);

// Lowest mean latency that any instance of the service has reported; zero when none has.
Millis bestLatency(const World &world, const ServiceName &service);

// Takes note that an instance queued or refused an offer for want of slots.
void noteFull(World &world, Instance &instance);

// Keeps an instance from being chosen for a while, longer with each failure in a row.
void avoid(World &world, Instance &instance);

} // namespace radishford

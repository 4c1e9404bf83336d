// Load patterns for tests: random arrivals, servers whose speed changes in phases, and the outcome of the calls.
#pragma once

#include "fake/routed_fleet.h"

#include <cmath>
#include <cstddef>
#include <vector>

namespace radishford {

// Speed phases of all servers. Each phase of a server is slow or normal at random, independently of earlier ones.
class SpeedPhases
{
public:
    // Servers are slow for a share of the time; work then takes factor times as long. Each phase lasts for the given time.
    SpeedPhases(double share, int factor, Millis phase, std::uint64_t seed)
        : share_(share)
        , factor_(factor)
        , phaseLength_(phase)
        , seed_(seed)
    {
    }

    // Returns the relative service time that a server reports at a time, 100 meaning as usual.
    [[nodiscard]] int at(std::size_t server, Millis now) const
    {
        const auto shift = static_cast<std::int64_t>(server) * 37000;
        const auto number = static_cast<std::uint64_t>((now.micros() + shift) / phaseLength_.micros());
        Random random(seed_ ^ (number * 0x9E3779B97F4A7C15ULL) ^ (server * 0xBF58476D1CE4E5B9ULL));
        constexpr int Usual = 100;
        return random.uniformReal() < share_ ? Usual * factor_ : Usual;
    }

private:
    double share_;
    int factor_;
    Millis phaseLength_;
    std::uint64_t seed_;
};

// A phase of a load pattern with a constant mean rate.
struct LoadPhase {
    double callsPerSecond_ = 0;
    Millis span_;
};

// Outcome of the calls of a replay.
struct LoadOutcome {
    int calls_ = 0;
    int onTime_ = 0;
    int late_ = 0;
    // Calls that were refused or failed.
    int unanswered_ = 0;
    // Calls that were refused or failed only after their latency target.
    int lateFailures_ = 0;
    // Responses that came from another region.
    int crossRegionResponses_ = 0;
    std::uint64_t healthChecks_ = 0;
    std::uint64_t offers_ = 0;

    [[nodiscard]] double onTimeShare() const
    {
        return static_cast<double>(onTime_) / std::max(1, calls_);
    }
};

// Replays a load pattern on a routed fleet and waits for three seconds for the last calls. Two calls of three are reads. `changeCall`, if any, is
// applied to each call.
inline LoadOutcome replayLoad(FakeFleet &fleet, const std::vector<LoadPhase> &phases, std::uint64_t seed,
                              const std::function<void(FakeCall &)> &changeCall = {})
{
    Random random(seed);
    const std::size_t first = fleet.calls_.size();
    constexpr std::uint64_t Thirds = 3;
    constexpr double MicrosPerSecond = 1e6;
    for (const LoadPhase &phase : phases) {
        const Millis end = fleet.now() + phase.span_;
        while (fleet.now() < end) {
            const std::string token = "call" + std::to_string(fleet.calls_.size());
            FakeCall call = routedCall(token, random.uniformBelow(Thirds) != 0);
            if (changeCall) {
                changeCall(call);
            }
            fleet.call(random.uniformBelow(fleet.size()), call);
            const double wait = -std::log(1 - random.uniformReal()) / phase.callsPerSecond_;
            fleet.runFor(Millis::fromMicros(static_cast<std::int64_t>(wait * MicrosPerSecond)));
        }
    }
    fleet.runFor(Millis(3000));
    LoadOutcome outcome;
    for (std::size_t number = first; number < fleet.calls_.size(); ++number) {
        const CallResult &result = fleet.results_[number];
        const bool inTarget = result.endedAt_ - result.startedAt_ <= fleet.calls_[number].policy_.latencyTarget_;
        ++outcome.calls_;
        outcome.onTime_ += result.responseToken_ && inTarget ? 1 : 0;
        outcome.late_ += result.responseToken_ && !inTarget ? 1 : 0;
        outcome.unanswered_ += result.responseToken_ ? 0 : 1;
        outcome.lateFailures_ += !result.responseToken_ && !inTarget ? 1 : 0;
    }
    outcome.healthChecks_ = fleet.healthChecks_;
    outcome.crossRegionResponses_ = fleet.crossRegionRelays_;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        outcome.offers_ += fleet.world(index).counters_.get(Counter::Attempts);
    }
    return outcome;
}

} // namespace radishford

// Names of the strategies of choice.
#pragma once

#include <cstdint>

namespace radishford {

// The strategies that can be measured against each other.
enum class StrategyKind : std::uint8_t {
    LoadThenLatency, // Samples a few, avoids full ones, then takes the fastest. Used by the daemon.
    Random, // Any.
    RoundRobin, // Each in turn.
    LeastInFlight, // Fewest own outstanding attempts of all.
    TwoChoices, // Fewer own outstanding attempts of two.
    Count, // Number of strategies.
};

} // namespace radishford

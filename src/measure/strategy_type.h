// Load balancing strategies.
#pragma once

#include <cstdint>

namespace radishford {

// Strategies that can be set. The order is the index of the strategy table in selection.cpp.
enum class StrategyKind : std::uint8_t {
    LoadThenLatency, // Samples a few, leaves out full ones, then selects the lowest latency. The daemon's default.
    Random, // Selects at random.
    RoundRobin, // Selects in turn.
    LeastInFlight, // Selects the fewest outstanding attempts of this daemon.
    TwoChoices, // Selects the one with fewer outstanding attempts of two drawn at random.
    Count, // Number of strategies.
};

} // namespace radishford

// Structured log on standard output through log4cplus: one JSON object on each line.
#pragma once

#include "world/effect_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Attaches standard output to the log. The instance name is written in every line.
void initializeLog(const std::string &instance);

// Writes one line about a change of state, without a rate limit.
void logChange(const std::string &text);

// Writes one line about a decision on a request. Lines above the rate limit are dropped and counted.
void logDecision(const LogDecision &effect, Millis now);

// Returns how many lines were dropped, by the rate limit or because standard output could not accept them.
std::uint64_t droppedLogLines();

} // namespace radishford

// Structured log lines on standard output, by log4cplus: one JSON object a line.
#pragma once

#include "world/effect_type.h"

#include <cstdint>
#include <string>

namespace radishford {

// Sends log lines of this process to standard output.
void startLog(const std::string &instance);

// Writes one line about a change of state.
void logChange(const std::string &text);

// Writes one line about a decision on a request, unless too many were written of late.
void logDecision(const LogDecision &effect, Millis now);

// Lines that were left out, because of the limit or because nobody took them.
std::uint64_t droppedLogLines();

} // namespace radishford

// Log lines for changes of state.
#pragma once

#include <string>

namespace radishford {

// Sends log lines of this process to standard error.
void startLog(const std::string &instance);

// Writes one line about a change of state.
void logChange(const std::string &text);

} // namespace radishford

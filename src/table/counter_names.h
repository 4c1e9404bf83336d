// Names of counters and traffic purposes on the metrics page.
#pragma once

#include "world/counters.h"

#include <array>
#include <string_view>

namespace radishford {

// Names, indexed by Counter.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Counter::Count)> CounterNames{
    "calls",          "attempts",       "retries",         "admitted",    "queued",         "refused",          "handed_over",     "late_messages",
    "probes_sent",    "probes_denied",  "reports_denied",  "pings_sent",  "pings_missed",   "records_rejected", "tickets_applied", "claims_sent",
    "store_requests", "store_failures", "suspects_marked", "quarantines", "backend_checks", "limit_changes",
};

// Names, indexed by Purpose.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(MessagePurpose::Count)> PurposeNames{
    "call", "retry", "measuring", "membership", "configuration", "store", "quarantine",
};

} // namespace radishford

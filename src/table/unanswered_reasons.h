// Names of the reasons for which a caller gets no complete response, on the metrics page and in logs.
#pragma once

#include "call/unanswered_type.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace radishford {

// Names, indexed by UnansweredReason.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(UnansweredReason::Count)> UnansweredReasonNames{
    "caller_closed", "caller_reset",  "head_incomplete",  "body_incomplete",   "response_not_taken",
    "response_cut",  "relay_overdue", "shutdown_overdue", "connection_ending",
};

// Returns the name of a reason.
constexpr std::string_view nameOf(UnansweredReason reason)
{
    return UnansweredReasonNames[static_cast<std::size_t>(reason)];
}

} // namespace radishford

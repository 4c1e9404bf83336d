// Merges what daemons know of a suspect, and decides what it amounts to.
#pragma once

#include "call/suspect_base.h"

#include <cstddef>
#include <cstdint>

namespace radishford {

// When failures lead to quarantine.
struct QuarantinePolicy {
    // Number of failures that count.
    std::size_t threshold_ = 0;
    // Number of failures that count at most without being attributed to the request.
    std::size_t maxUnattributed_ = 0;
};

// Policy for callers that send requests by service and class: any two failures.
inline constexpr QuarantinePolicy NativePolicy{2, 2};
// Policy of a routed deployment: three failures, one of them at most unattributed. When many servers fail at the same moment, what they were all running counts
// as having failed once.
inline constexpr QuarantinePolicy RoutedPolicy{3, 1};

// Adds a failure, or sets the flags of a known one. Returns true when anything has changed. The number of failures is bounded; beyond it, cleared ones and then
// those that are not attributed are dropped first.
bool mergeFailure(Suspect &suspect, const SuspectFailure &failure);

// Marks all failures as cleared. Returns true when anything has changed.
bool clearFailures(Suspect &suspect);

// Number of failures that are not cleared.
std::size_t countOpenFailures(const Suspect &suspect);

// True when a failure is not cleared.
bool hasOpenFailure(const Suspect &suspect);

// True when the failures that are not cleared lead to quarantine.
bool isOverThreshold(const Suspect &suspect, const QuarantinePolicy &policy);

// Hash of what a record of the suspect holds, without the time until it is forgotten.
std::uint64_t hashOf(Fingerprint fingerprint, const Suspect &suspect);

} // namespace radishford

// What is known of requests that were running when backend servers failed, as daemons exchange it.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <vector>

namespace radishford {

// Names a failure of a backend server: derived from the start that failed, so that it counts once for a request, whoever reports it and however many copies of
// the request were running there.
using FailureId = StrongType<struct FailureIdTag, std::uint64_t>;

// A failure of a backend server that was running a request.
struct SuspectFailure {
    FailureId id_;
    // True when the request was a suspect before it ran there. It was then the only suspect on the server, so that it most likely caused the failure.
    bool isAttributed_ = false;
    // True once the request has completed, or an operator has released it, after the failure was known.
    bool isCleared_ = false;
    bool operator==(const SuspectFailure &) const = default;
};

// What one daemon knows of a request. Records merge in any order and any number of times: failures are united, and flags are only ever set.
struct SuspectRecord {
    Fingerprint fingerprint_;
    // Sorted by id.
    std::vector<SuspectFailure> failures_;
    // True once the store holds the quarantine of the request.
    bool isStored_ = false;
    // Time until the failures are forgotten.
    Millis remaining_;
};

} // namespace radishford

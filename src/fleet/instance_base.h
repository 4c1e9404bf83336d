// Row of the instance table.
#pragma once

#include "core/clock_type.h"
#include "fleet/instance_type.h"
#include "measure/load_report_type.h"

#include <vector>

namespace radishford {

// Smallest difference between the local receive time of an offer and its send time by the clock of the sender. The clocks are unrelated, so the
// difference itself means nothing, but the fastest offers show how much longer a later one was on its way.
struct TransitBaseline {
    // Process of the sender that the values belong to.
    Incarnation incarnation_;
    // Smallest difference in the current window and in the one before.
    Millis lowest_ = Millis::never();
    Millis previousLowest_ = Millis::never();
    Millis windowEndsAt_;
};

// An instance as this daemon knows it: its gossip record, its latest load report and the local observations about it.
struct Instance {
    // Record that gossip disseminates.
    InstanceRecord record_;
    // Index of the failure domain in this daemon's list of places.
    FailureDomainId domain_;
    // Region of the failure domain.
    RegionId region_;
    // Time at which this daemon last changed the health in the record.
    Millis healthChangedAt_;
    // Number of further heartbeat messages that carry this record.
    std::int32_t remainingTransmissions_ = 0;
    // Latest load report.
    LoadReport report_;
    // Receive time of the report; never() when there was none.
    Millis reportReceivedAt_ = Millis::never();
    // Attempts of this daemon at the instance that have not ended.
    std::int32_t outstandingAttempts_ = 0;
    // Attempts of this daemon started since the latest report.
    std::int32_t attemptsSinceReport_ = 0;
    // The instance is not selected before this time, after a refusal or failure.
    Millis excludedUntil_;
    // Consecutive failures; each one makes the avoidance longer.
    std::int32_t consecutiveFailures_ = 0;
    // Time at which the instance last replied to an offer or sent a response to this daemon.
    Millis lastHeardAt_;
    // Transit times of its offers to this daemon.
    TransitBaseline transit_;
    // The latest backend server of the instance that leaves, by its record or by a response to this daemon; zero when none does. Offers and
    // acknowledgements tell it to the daemon beside the server, which forgets it when it restarts.
    BackendStartHash leavingBackend_;
    // Time at which the last probe was sent.
    Millis lastProbedAt_;
};

} // namespace radishford

// Tables of the inbound side: the backend server beside this daemon and the requests for it.
#pragma once

#include "call/call_base.h"
#include "fleet/instance_type.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace radishford {

// The backend server beside this daemon, as it announced itself.
struct LocalBackend {
    ServiceName service_;
    Address address_;
    Slots slots_;
    BackendState state_ = BackendState::Absent;
    // Start number, as announced.
    Incarnation incarnation_;
    // When the latest announcement came.
    Millis announcedAt_;
    // When it last became ready.
    Millis readyAt_;
    // When it started to drain; never() while it does not, or once its overdue drain was reported.
    Millis drainingSince_ = Millis::never();
    // Moving average of the time to answer.
    Millis latency_;
};

// Requests of one class that hold a slot or wait for one.
struct ClassQueue {
    // Requests that hold a slot.
    Slots inFlight_;
    // Requests that wait, oldest first. Ids of removed rows are skipped.
    std::deque<AdmissionId> waiting_;
    // Number of rows in waiting_ that still exist.
    Slots waitingCount_;
};

// Requests at the only way to the backend server.
struct AdmissionTable {
    Pool<Admission, AdmissionId> rows_;
    std::unordered_map<ExchangeHandle, AdmissionId, StrongHash> byExchange_;
    LocalBackend backend_;
    // By index of the class in the service's ticket.
    std::vector<ClassQueue> classes_;
    // Requests that hold a slot.
    Slots inFlight_;
    // Requests that wait.
    Slots queued_;
    // Suspected requests that hold a slot.
    std::int32_t suspectsInFlight_ = 0;
    // When a suspected request last failed here.
    Millis suspectFailedAt_ = Millis::fromMicros(0);
    // Class to look at first when a slot is free.
    std::size_t nextClass_ = 0;
};

} // namespace radishford

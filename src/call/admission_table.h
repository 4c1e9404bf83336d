// Tables of the inbound side: the backend server beside this daemon and the requests for it.
#pragma once

#include "call/call_base.h"
#include "core/token_bucket.h"
#include "fleet/instance_type.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace radishford {

// A request whose connection to the backend server broke while it ran.
struct InterruptedRequest {
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
    Fingerprint fingerprint_;
    bool isBesideSuspect_ = false;
};

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
    // Id by which the backend server names itself; empty when it has none.
    BackendId id_;
    // Number of the latest announcement of this start.
    std::uint64_t sequence_ = 0;
    // True once it said goodbye; only a new start ends that.
    bool isDeregistered_ = false;
    // How long work takes at this moment as last told; zero when it was never told.
    Percent slowness_;
    Millis slownessAt_;
    // Answers near full in the present series of trials, and the sum of their work relative to its class's usual one.
    std::int32_t fullTrials_ = 0;
    double fullWork_ = 0;
    // Whether all slots may be used, by what all servers of the service have found, and when that is worked out again.
    bool allowsFullLoad_ = true;
    Millis nextFullLoadCheckAt_;
    // Share of the latest requests that it failed, from zero to one.
    double failing_ = 0;
    // When the latest request ended.
    Millis lastOutcomeAt_;
    // Lowest slowness of late: what is usual for this server.
    double baselineSlowness_ = 0;
};

// A goodbye of a backend server that had not announced itself to this process.
struct EarlyDeregistration {
    BackendId id_;
    Millis at_;
};

// Health checks of the backend server.
struct CheckTable {
    // True while one runs.
    bool running_ = false;
    Millis startedAt_;
    // True once the backend server answered a check without telling its speed.
    bool lacksLoad_ = false;
    // Allowance, by the settings' rate.
    TokenBucket budget_;
    // When a waiting request makes the next check worthwhile; never() when none waits.
    Millis nextAt_ = Millis::never();
    // Requests whose connection broke: the next check tells a crash from a lost answer.
    std::vector<InterruptedRequest> interrupted_;
};

// What is known of idle connections to the backend server that were forgotten.
struct ConnectionReuseTable {
    // Longest idle time that is trusted, and until when that holds.
    Millis maxIdle_;
    Millis maxIdleExpiresAt_;
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
    CheckTable checks_;
    ConnectionReuseTable connectionReuse_;
    // Latest goodbyes that came before any announcement of that id.
    std::deque<EarlyDeregistration> earlyDeregistrations_;
    // By index of the class in the service's ticket.
    std::vector<ClassQueue> classes_;
    // Time from hand-over to answer at the usual speed, by class.
    std::unordered_map<ClassName, Millis, StrongHash> typicalServiceTimes_;
    // Times from hand-over to answer, whatever the speed.
    ShortestTimes shortestServiceTimes_;
    // Requests that hold a slot.
    Slots inFlight_;
    // Requests that wait.
    Slots queued_;
    // Suspected requests that hold a slot.
    std::int32_t suspectsHoldingSlots_ = 0;
    // When a suspected request last failed here.
    Millis suspectFailedAt_ = Millis::fromMicros(0);
    // Class to look at first when a slot is free.
    std::size_t nextClassIndex_ = 0;
};

} // namespace radishford

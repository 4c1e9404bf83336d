// Tables of the inbound side: the local backend server and the requests for it.
#pragma once

#include "call/call_base.h"
#include "core/token_bucket.h"
#include "fleet/instance_type.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishford {

// A request whose connection to the backend server closed while it ran.
struct InterruptedRequest {
    ExchangeHandle exchange_;
    std::uint64_t attempt_ = 0;
    Fingerprint fingerprint_;
    // The start of the backend server that ran it, and its service.
    BackendStart backend_;
    ServiceName service_;
    // True when another suspect most likely caused the failure.
    bool isBesideSuspect_ = false;
    // True when the request was a suspect before it ran.
    bool wasSuspectAtStart_ = false;
};

// The local backend server, as it announced itself, and what was learned about it since.
struct LocalBackend {
    ServiceName service_;
    Address address_;
    Slots slots_;
    BackendState state_ = BackendState::Absent;
    // Start number from the announcement; a restarted server announces a higher one.
    Incarnation incarnation_;
    // When the latest announcement arrived.
    Millis announcedAt_;
    // When it last became ready.
    Millis readyAt_;
    // When it started to drain; never() while it does not, or once its overdue drain was reported.
    Millis drainingSince_ = Millis::never();
    // Moving average of the time from hand-over to the complete response.
    Millis latency_;
    // Id under which the backend server announces itself; empty when it has none.
    BackendId id_;
    // True when it was announced after the settings last named a service.
    bool namesCallers_ = false;
    // Sequence number of the latest announcement from this start.
    std::uint64_t sequence_ = 0;
    // True after it deregistered or stated in a response that it leaves; only a new start resets this.
    bool isLeaving_ = false;
    // True once a response of this start has told whether it limits its requests or leaves.
    bool isNoticeKnown_ = false;
    // True once a health check of this start has ended, with a response or without.
    bool hasBeenChecked_ = false;
    // Latest reported service time as a percentage of the usual one, and when it was reported; zero when it was never reported.
    Percent slowness_;
    Millis slownessAt_;
    // Responses to requests that started while nearly all slots were taken, at most 100, and the sum of their service times relative to the
    // typical one of their class.
    std::int32_t nearFullSamples_ = 0;
    double nearFullSlownessSum_ = 0;
    // True when all slots may be used, according to the measurements of all servers of the service, and when this is evaluated next.
    bool allowsFullLoad_ = true;
    Millis nextFullLoadCheckAt_;
    // Moving share of recent requests that it failed, from zero to one. It decays while no requests run.
    double failureShare_ = 0;
    // When the latest request ended.
    Millis lastOutcomeAt_;
    // Lowest recently reported slowness: the baseline of this server.
    double baselineSlowness_ = 0;
};

// A request that was handed over, and its rank: requests with a lower one come first while the server limits its requests.
struct RecentHandOver {
    Millis at_;
    std::int32_t rank_ = 0;
};

// Limit on the requests that the backend server takes from all daemons together. All of them pass through this one.
struct RequestLimitTable {
    // Limit that the server states; absent while it states none.
    std::optional<RequestRate> rate_;
    // When the head of the response that changed the limit began to arrive.
    Millis statedAt_;
    // Latest limit that was not a plain number, as the server wrote it.
    std::string unusualLimit_;
    // Tokens for hand-overs; only used while there is a limit.
    TokenBucket tokens_;
    // Number of admitted requests that have not been handed over yet.
    std::int32_t reserved_ = 0;
    // Hand-overs in the last seconds, oldest first. Those before the first limit are left out if this process has seen the whole start of the server.
    std::deque<RecentHandOver> recentHandOvers_;
    // When the server was last asked, by a request or a health check, whether its limit still holds.
    Millis askedAt_;
    // Until when rejections are not logged, since one was a short time ago.
    Millis rejectionLoggedUntil_;
};

// Deregistration of a backend server that had not announced itself to this process.
struct EarlyDeregistration {
    BackendId id_;
    // Start that it belongs to; zero when it is not named.
    Incarnation incarnation_;
    Millis at_;
};

// Health checks of the backend server.
struct CheckTable {
    // True while a check is in progress.
    bool running_ = false;
    // Number of the latest check. A check that has timed out may still end, after another one began.
    std::uint64_t number_ = 0;
    Millis startedAt_;
    // The start of the backend server that it is for.
    BackendStart backend_;
    // True once the backend server responded to a check without reporting its load.
    bool lacksLoad_ = false;
    // Token bucket that limits checks to the rate from the settings.
    TokenBucket budget_;
    // When the next check is due because requests wait for the backend server to reach its normal speed; never() when none is needed.
    Millis nextAt_ = Millis::never();
    // Requests whose connection closed while they ran. The check in progress shows whether the server crashed or the response was lost.
    std::vector<InterruptedRequest> interrupted_;
    // Requests whose connection closed after the check in progress began, which only the next one can decide.
    std::vector<InterruptedRequest> interruptedSinceCheck_;
};

// Limit on the reuse of idle connections, learned from connections that were dropped silently.
struct ConnectionReuseTable {
    // Longest idle time after which a connection is still used, and until when the limit holds.
    Millis maxIdleTime_;
    Millis maxIdleTimeExpiresAt_;
};

// Requests of one class that hold a slot or are queued.
struct ClassQueue {
    // Requests that hold a slot.
    Slots inFlight_;
    // Queued requests, oldest first. Ids of removed rows are skipped.
    std::deque<AdmissionId> waiting_;
    // Number of rows in waiting_ that still exist.
    Slots waitingCount_;
};

// All requests that hold a slot of the local backend server or are queued for one.
struct AdmissionTable {
    Pool<Admission, AdmissionId> rows_;
    std::unordered_map<ExchangeHandle, AdmissionId, StrongHash> byExchange_;
    LocalBackend backend_;
    CheckTable checks_;
    ConnectionReuseTable connectionReuse_;
    RequestLimitTable limit_;
    // Latest deregistrations that arrived before any announcement with that id.
    std::deque<EarlyDeregistration> earlyDeregistrations_;
    // Latest starts of backend servers that leave, by what other daemons say, and were not announced at that time.
    std::deque<BackendStartHash> leavingStarts_;
    // By index of the class in the service's ticket. Routed requests share index 0.
    std::vector<ClassQueue> classes_;
    // Average service time without the reported slowdown, by class.
    std::unordered_map<ClassName, Millis, StrongHash> typicalServiceTimes_;
    // Shortest recent time from hand-over to the response, by class, without correction for slowness.
    ShortestTimes shortestServiceTimes_;
    // Average size of responses, by class.
    std::unordered_map<ClassName, Bytes, StrongHash> typicalResponseSizes_;
    // Expected size of the responses to all requests that hold a slot.
    Bytes promisedResponseBytes_;
    // Requests that hold a slot.
    Slots inFlight_;
    // Requests that are queued, over all classes.
    Slots queued_;
    // Suspects that hold a slot; at most one runs at a time, so that a failure shows which request causes it.
    std::int32_t suspectsHoldingSlots_ = 0;
    // When a suspect last failed here; zero when none has.
    Millis suspectFailedAt_ = Millis::fromMicros(0);
    // Class that is offered the next free slot first, so that classes take turns.
    std::size_t nextClassIndex_ = 0;
};

} // namespace radishford

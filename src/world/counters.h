// Counters of decisions, results and traffic.
#pragma once

#include "call/unanswered_type.h"
#include "core/result_code.h"
#include "fleet/datagram_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace radishford {

// Events that are counted besides results and traffic. table/counter_names.h lists the metric names.
enum class Counter : std::uint8_t {
    Calls, // Calls accepted from callers.
    Attempts, // Offers sent.
    Retries, // Offers after the first of a call.
    Admitted, // Offers admitted.
    Queued, // Offers queued.
    Refused, // Offers refused.
    HandedOver, // Requests handed over to the backend server.
    LateMessages, // Messages for calls, attempts or admissions that have already ended.
    ProbesSent, // Probes sent.
    ProbesDenied, // Probes not sent because the measurement budget was used up.
    ReportsDenied, // Load reports left out because the measurement budget was used up.
    PingsSent, // Heartbeats sent.
    PingsMissed, // Heartbeats not acknowledged in time.
    RecordsRejected, // Instance records without a name or with an unknown failure domain.
    TicketsApplied, // Ticket objects that became active.
    ClaimsSent, // Claims sent to the store.
    StoreRequests, // Requests sent to the store.
    StoreFailures, // Store requests that failed or got no response.
    SuspectsMarked, // Requests that were running at a backend server failure.
    Quarantines, // Requests refused because of two failures.
    BackendChecks, // Health checks of the local backend server.
    LimitChanges, // Changes of the request limit that the local backend server states.
    Count, // Number of counters.
};

// Key of a traffic counter: purpose and destination region.
struct TrafficKey {
    MessagePurpose purpose_ = MessagePurpose::Call;
    RegionId toRegion_;
    auto operator<=>(const TrafficKey &) const = default;
};

// Number of messages and their size on the network.
struct Traffic {
    std::uint64_t messages_ = 0;
    Bytes bytes_;
};

// All counters of one daemon. They only grow.
struct Counters {
    // Event counters, indexed by Counter.
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)> values_{};
    // Results returned to callers and to outbound sides, by code.
    std::map<ResultCode, std::uint64_t> results_;
    // Requests whose callers got no complete response, indexed by UnansweredReason.
    std::array<std::uint64_t, static_cast<std::size_t>(UnansweredReason::Count)> unanswered_{};
    // Outgoing messages counted by the emit system.
    std::map<TrafficKey, Traffic> traffic_;

    // Increments a counter.
    void add(Counter counter)
    {
        ++values_[static_cast<std::size_t>(counter)];
    }

    // Counts a request whose caller got no complete response.
    void add(UnansweredReason reason)
    {
        ++unanswered_[static_cast<std::size_t>(reason)];
    }

    // Value of a counter since the start.
    [[nodiscard]] std::uint64_t get(Counter counter) const
    {
        return values_[static_cast<std::size_t>(counter)];
    }

    // Number of requests whose callers got no complete response for this reason.
    [[nodiscard]] std::uint64_t get(UnansweredReason reason) const
    {
        return unanswered_[static_cast<std::size_t>(reason)];
    }
};

} // namespace radishford

// Counters of decisions.
#pragma once

#include "core/result_code.h"
#include "fleet/gossip_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace radishford {

// What is counted besides results and bytes. Names stand in table/counter_names.h.
enum class Counter : std::uint8_t {
    Calls, // Calls taken from callers.
    Attempts, // Offers sent.
    Retries, // Offers after the first of a call.
    Admitted, // Offers admitted.
    Queued, // Offers queued.
    Refused, // Offers refused.
    HandedOver, // Requests handed over to the backend server.
    LateMessages, // Messages for rows that have ended.
    ProbesSent, // Probes sent.
    ProbesDenied, // Probes not sent for want of budget.
    ReportsDenied, // Load reports left out for want of budget.
    PingsSent, // Heartbeats sent.
    PingsMissed, // Heartbeats not acknowledged in time.
    RecordsRejected, // Instance records that could not be placed.
    TicketsApplied, // Ticket objects that came into force.
    ClaimsSent, // Claims sent to the store.
    StoreRequests, // Requests sent to the store.
    StoreFailures, // Store requests without an answer.
    SuspectsMarked, // Requests that were running at a backend server failure.
    Quarantines, // Requests refused because of two failures.
    BackendChecks, // Health checks of the backend server beside this daemon.
    Count, // Number of counters.
};

// Traffic of one purpose to one region.
struct TrafficKey {
    Purpose purpose_ = Purpose::Call;
    RegionId toRegion_;
    auto operator<=>(const TrafficKey &) const = default;
};

// Messages and bytes.
struct Traffic {
    std::uint64_t messages_ = 0;
    Bytes bytes_;
};

// All counters of one world.
struct Counters {
    // Simple counters, by Counter.
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)> values_{};
    // Results given to callers and outbound sides, by code.
    std::map<ResultCode, std::uint64_t> results_;
    // Messages that passed the emit system.
    std::map<TrafficKey, Traffic> traffic_;

    // Adds one.
    void add(Counter counter)
    {
        ++values_[static_cast<std::size_t>(counter)];
    }

    // The value of one counter.
    [[nodiscard]] std::uint64_t get(Counter counter) const
    {
        return values_[static_cast<std::size_t>(counter)];
    }
};

} // namespace radishford

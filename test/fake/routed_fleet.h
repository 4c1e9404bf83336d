// Helpers for a fake fleet whose calls are routed by a desired state in the fake store.
#pragma once

#include "fake/fake_fleet.h"

#include <string>

namespace radishford {

// Settings of a routed deployment, with limits as in production.
inline WorldSettings routedSettings()
{
    WorldSettings settings;
    settings.isRouted_ = true;
    settings.announcementLease_ = Millis(7500);
    settings.retryWindowShare_ = Percent(20);
    settings.retryWindowAllowance_ = 64;
    settings.backendChecksPerSecond_ = 48;
    settings.minShutdownTime_ = Millis(2500);
    settings.refuseCallsAfter_ = Millis(4200);
    settings.maxShutdownTime_ = Millis(5800);
    return settings;
}

// A desired state with the routes "read" (idempotent) and "write" of the service "booking".
inline TicketObject routing(std::uint64_t version)
{
    const auto route = [](const char *name, const char *prefix, bool idempotent, int priority) {
        Route row;
        row.name_ = ClassName(name);
        row.host_ = "desk.example";
        row.pathPrefix_ = prefix;
        row.isIdempotent_ = idempotent;
        row.timeout_ = Millis(1200);
        row.latencyTarget_ = Millis(300);
        row.priority_ = static_cast<std::uint8_t>(priority);
        row.maxBackends_ = 2;
        row.weightedServices_ = {WeightedService{ServiceName("booking"), 1}};
        return row;
    };
    RoutingSpec spec;
    spec.routes_ = {route("read", "/read/", true, 2), route("write", "/write/", false, 1)};
    spec.services_ = {RoutedService{ServiceName("booking"), "/health"}};
    return TicketObject{"routing", TicketNumber(version), spec};
}

// A call to the route "read" (idempotent) or "write".
inline FakeCall routedCall(const std::string &token, bool idempotent)
{
    FakeCall call;
    call.token_ = token;
    call.action_ = token;
    call.class_ = idempotent ? "read" : "write";
    call.policy_.routed_ = true;
    call.policy_.isIdempotent_ = idempotent;
    call.policy_.priority_ = idempotent ? 2 : 1;
    call.policy_.maxBackends_ = 2;
    call.policy_.timeout_ = Millis(1200);
    call.policy_.latencyTarget_ = Millis(300);
    return call;
}

// True when every running daemon uses this version of the desired state or a later one.
inline bool allUseVersion(FakeFleet &fleet, std::uint64_t version)
{
    return fleet.allUseTicket(version);
}

// Stores the first desired state and runs until the daemons have found each other and applied it.
inline void startRoutedFleet(FakeFleet &fleet)
{
    fleet.store_.putRouting(routing(1));
    fleet.runFor(Millis(4000));
}

} // namespace radishford

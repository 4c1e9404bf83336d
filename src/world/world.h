// State of the decision library: all tables, and the tick that runs the systems over them.
#pragma once

#include "call/admission_table.h"
#include "call/call_table.h"
#include "call/suspect_base.h"
#include "core/random.h"
#include "core/timer_queue.h"
#include "fleet/directory_table.h"
#include "fleet/fleet_table.h"
#include "measure/measurement_table.h"
#include "measure/retry_window_table.h"
#include "store/claim_table.h"
#include "store/quarantine_store_table.h"
#include "ticket/route_table.h"
#include "ticket/routing_watch_table.h"
#include "ticket/ticket_table.h"
#include "world/counters.h"
#include "world/effect_type.h"
#include "world/event_type.h"
#include "world/world_settings.h"

namespace radishford {

// Complete state of one daemon's decisions. It uses no sockets, threads, clocks or codecs, so that equal seeds, events and times
// produce equal effects.
struct World {
    // Creates empty tables and the instance record of this daemon.
    World(const WorldSettings &settings, std::uint64_t seed, Millis now);

    // Processes the events since the last tick and returns the effects in the order in which they must be carried out.
    Outbox tick(Millis now, Inbox inbox);

    // Time of the next tick when no event arrives before.
    [[nodiscard]] Millis nextDeadline() const;

    // Appends an effect to the outbox of the current tick.
    template<typename E>
    void emit(E effect)
    {
        outbox_.emplace_back(std::move(effect));
    }

    WorldSettings settings_;
    // Time of the current tick.
    Millis now_;
    Random random_;
    Inbox inbox_;
    Outbox outbox_;
    TimerQueue timers_;
    Counters counters_;
    FleetTable fleet_;
    CallTable calls_;
    AdmissionTable admissions_;
    SuspectTable suspects_;
    TicketTable tickets_;
    ClaimTable claims_;
    QuarantineStoreTable quarantineStore_;
    MeasurementTable measurement_;
    RetryWindowTable retryWindows_;
    DirectoryTable directory_;
    RoutingWatchTable routingWatch_;
    RouteTable routes_;
    // Current era of the store; absent while no response has reported one.
    std::optional<StoreEra> storeEra_;
    // Id of the latest store request that was sent before the current era was known.
    std::uint64_t lastRequestBeforeEra_ = 0;
    // Id of the latest store request.
    std::uint64_t lastStoreRequestId_ = 0;
    // Time at which shutdown was requested; never() before.
    Millis shutdownRequestedAt_ = Millis::never();
    // Time at which the latest call was accepted.
    Millis lastCallAt_;
    // Time since which a daemon that shuts down has no calls and admissions; never() while it has some.
    Millis idleSince_ = Millis::never();
    // True once Exit has been emitted.
    bool hasExited_ = false;
};

// True once shutdown has been requested.
bool isShuttingDown(const World &world);

// Generates a random span id. Another span of the fleet is unlikely to have the same one.
SpanId generateSpanId(World &world);

} // namespace radishford

// The decision library's state: all tables, and the tick that runs the systems over them.
#pragma once

#include "call/admission_table.h"
#include "call/call_table.h"
#include "call/suspect_base.h"
#include "core/random.h"
#include "core/timer_queue.h"
#include "fleet/directory_table.h"
#include "fleet/fleet_table.h"
#include "measure/measure_table.h"
#include "measure/repeat_table.h"
#include "store/claim_table.h"
#include "ticket/route_table.h"
#include "ticket/ticket_table.h"
#include "ticket/watch_table.h"
#include "world/counters.h"
#include "world/effect_type.h"
#include "world/event_type.h"
#include "world/world_settings.h"

namespace radishford {

// Everything one daemon decides by. It has no sockets, threads, clocks or codecs: equal seeds, events and times give equal effects.
struct World {
    // Starts with empty tables and this daemon's own instance record.
    World(const WorldSettings &settings, std::uint64_t seed, Millis now);

    // Takes what happened since the last tick and returns what to do, in order.
    Outbox tick(Millis now, Inbox inbox);

    // When the next tick is due even without events.
    [[nodiscard]] Millis nextDeadline() const;

    // Appends an effect.
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
    MeasureTable measure_;
    RepeatTable repeats_;
    DirectoryTable directory_;
    WatchTable watch_;
    RouteTable routes_;
    // Number of the latest request to the store.
    std::uint64_t lastStoreRequest_ = 0;
    // Set once shutdown was asked; never() before.
    Millis leavingSince_ = Millis::never();
    // When the latest call was taken.
    Millis lastCallAt_;
    // True once Exit was emitted.
    bool exited_ = false;
};

// True once shutdown was asked.
bool isLeaving(const World &world);

// A span id that no other span of this fleet is likely to have.
SpanId drawSpan(World &world);

} // namespace radishford

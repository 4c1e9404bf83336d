// The tick, which runs the systems in a fixed order.
#include "world/world.h"

#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "table/systems.h"
#include "ticket/ticket_func.h"

#include <algorithm>
#include <utility>

namespace radishford {

namespace {

// Minimum interval between ticks without events.
constexpr Millis MinTickInterval{1};

} // namespace

World::World(const WorldSettings &settings, std::uint64_t seed, Millis now)
    : settings_(settings)
    , now_(now)
    , random_(seed)
{
    initFleetTable(*this);
    scheduleFirstTicketRead(*this);
}

Outbox World::tick(Millis now, Inbox inbox)
{
    now_ = std::max(now_, now);
    inbox_ = std::move(inbox);
    outbox_.clear();
    for (const SystemEntry &system : Systems) {
        system.run_(*this);
    }
    return std::move(outbox_);
}

Millis World::nextDeadline() const
{
    Millis next = timers_.nextDue();
    for (const SystemEntry &system : Systems) {
        if (system.nextDue_ != nullptr) {
            next = std::min(next, system.nextDue_(*this));
        }
    }
    // The deadline is always in the future, so that a front end that waits for it cannot spin.
    return std::max(next, now_ + MinTickInterval);
}

bool isShuttingDown(const World &world)
{
    return world.shutdownRequestedAt_ != Millis::never();
}

SpanId generateSpanId(World &world)
{
    return SpanId(world.random_.bits64() | 1U);
}

} // namespace radishford

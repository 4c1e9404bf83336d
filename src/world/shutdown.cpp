// Graceful shutdown of a daemon: requests in flight are completed.
#include "world/shutdown_func.h"

#include "fleet/gossip_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// When no call has arrived for this long, callers have switched to other daemons. They poll the readiness page once a second.
constexpr Millis CallerSwitchTime{1200};

// True when new calls may still arrive. Callers of a routed deployment stop only after they have read the readiness page.
bool mayReceiveCalls(const World &world)
{
    return world.settings_.leaveRefuse_ != Millis::never() && !refusesCalls(world) && world.now_ < world.lastCallAt_ + CallerSwitchTime;
}

// Earliest time at which the daemon may exit.
Millis earliestExit(const World &world)
{
    const Millis earliest = world.leavingSince_ + world.settings_.leaveLeast_;
    const Millis callersSwitchedAt = std::min(world.lastCallAt_ + CallerSwitchTime, world.leavingSince_ + world.settings_.leaveRefuse_);
    return mayReceiveCalls(world) ? std::max(earliest, callersSwitchedAt) : earliest;
}

} // namespace

void handle(World &world, const SettingsChanged &event)
{
    WorldSettings &current = world.settings_;
    const WorldSettings &changed = event.settings_;
    current.seeds_ = changed.seeds_;
    current.announcementLease_ = changed.announcementLease_;
    current.retryWindowShare_ = changed.retryWindowShare_;
    current.retryWindowAllowance_ = changed.retryWindowAllowance_;
    current.retryWindow_ = changed.retryWindow_;
    current.checksPerSecond_ = changed.checksPerSecond_;
    current.leaveLeast_ = changed.leaveLeast_;
    current.leaveRefuse_ = changed.leaveRefuse_;
    current.leaveMost_ = changed.leaveMost_;
    current.backendService_ = changed.backendService_;
    current.backendAddress_ = changed.backendAddress_;
}

bool refusesCalls(const World &world)
{
    const WorldSettings &settings = world.settings_;
    return world.exited_ || (isLeaving(world) && (settings.leaveRefuse_ == Millis::never() || world.now_ >= world.leavingSince_ + settings.leaveRefuse_));
}

void handle(World &world, const ShutdownAsked & /*event*/)
{
    if (isLeaving(world)) {
        return;
    }
    world.leavingSince_ = world.now_;
    world.emit(LogChange{"shutdown requested: draining"});
    publishSelf(world, Health::Alive);
    announceWidely(world);
}

void runShutdown(World &world)
{
    if (!isLeaving(world) || world.exited_) {
        return;
    }
    const bool isIdle = world.calls_.calls_.size() == 0 && world.admissions_.rows_.size() == 0 && world.now_ >= earliestExit(world);
    const bool isOverdue = world.settings_.leaveMost_ != Millis::never() && world.now_ >= world.leavingSince_ + world.settings_.leaveMost_;
    if (!isIdle && !isOverdue) {
        return;
    }
    publishSelf(world, Health::Left);
    announceWidely(world);
    world.exited_ = true;
    world.emit(LogChange{"shutdown complete: leaving the fleet"});
    world.emit(Exit{});
}

Millis nextShutdown(const World &world)
{
    if (!isLeaving(world) || world.exited_) {
        return Millis::never();
    }
    const Millis latest = world.settings_.leaveMost_ == Millis::never() ? Millis::never() : world.leavingSince_ + world.settings_.leaveMost_;
    const Millis earliest = earliestExit(world);
    return world.now_ < earliest ? std::min(earliest, latest) : latest;
}

} // namespace radishford

// Shutdown of a daemon without cutting a request.
#include "world/shutdown_func.h"

#include "fleet/gossip_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Without a call for this long, callers have gone elsewhere. They ask for readiness once a second.
constexpr Millis QuietSpan{1200};

// True when callers of a routed deployment may still come: they are only turned away by the readiness page.
bool callersMayCome(const World &world)
{
    return world.settings_.leaveRefuse_ != Millis::never() && !refusesCalls(world) && world.now_ < world.lastCallAt_ + QuietSpan;
}

// When the daemon may end at the earliest.
Millis leaveAt(const World &world)
{
    const Millis least = world.leavingSince_ + world.settings_.leaveLeast_;
    const Millis quiet = std::min(world.lastCallAt_ + QuietSpan, world.leavingSince_ + world.settings_.leaveRefuse_);
    return callersMayCome(world) ? std::max(least, quiet) : least;
}

} // namespace

void handle(World &world, const SettingsChanged &event)
{
    WorldSettings &own = world.settings_;
    const WorldSettings &fresh = event.settings_;
    own.seeds_ = fresh.seeds_;
    own.announcementLease_ = fresh.announcementLease_;
    own.repeatShare_ = fresh.repeatShare_;
    own.repeatSlack_ = fresh.repeatSlack_;
    own.repeatWindow_ = fresh.repeatWindow_;
    own.checksPerSecond_ = fresh.checksPerSecond_;
    own.leaveLeast_ = fresh.leaveLeast_;
    own.leaveRefuse_ = fresh.leaveRefuse_;
    own.leaveMost_ = fresh.leaveMost_;
    own.backendService_ = fresh.backendService_;
    own.backendAddress_ = fresh.backendAddress_;
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
    world.emit(LogChange{"shutdown asked: no new work"});
    publishSelf(world, Health::Alive);
    announceWidely(world);
}

void runShutdown(World &world)
{
    if (!isLeaving(world) || world.exited_) {
        return;
    }
    const bool idle = world.calls_.calls_.size() == 0 && world.admissions_.rows_.size() == 0 && world.now_ >= leaveAt(world);
    const bool overdue = world.settings_.leaveMost_ != Millis::never() && world.now_ >= world.leavingSince_ + world.settings_.leaveMost_;
    if (!idle && !overdue) {
        return;
    }
    publishSelf(world, Health::Left);
    announceWidely(world);
    world.exited_ = true;
    world.emit(LogChange{"nothing in flight: leaving"});
    world.emit(Exit{});
}

Millis nextShutdown(const World &world)
{
    if (!isLeaving(world) || world.exited_) {
        return Millis::never();
    }
    const Millis most = world.settings_.leaveMost_ == Millis::never() ? Millis::never() : world.leavingSince_ + world.settings_.leaveMost_;
    const Millis least = leaveAt(world);
    return world.now_ < least ? std::min(least, most) : most;
}

} // namespace radishford

// Shutdown of a daemon without cutting a request.
#include "world/shutdown_func.h"

#include "fleet/gossip_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Time for the fleet to hear that this daemon leaves.
constexpr Millis LeaveNotice{500};

} // namespace

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
    if (!isLeaving(world) || world.exited_ || world.now_ < world.leavingSince_ + LeaveNotice) {
        return;
    }
    const bool idle = world.calls_.calls_.size() == 0 && world.admissions_.rows_.size() == 0;
    if (!idle) {
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
    const Millis noticeOver = world.leavingSince_ + LeaveNotice;
    return world.now_ < noticeOver ? noticeOver : Millis::never();
}

} // namespace radishford

// What the local backend server states about itself in its responses: its request limit, and that it leaves.
#include "call/backend_notice_func.h"

#include "call/backend_func.h"
#include "call/backend_speed_func.h"
#include "call/request_limit_func.h"
#include "world/world.h"

namespace radishford {

namespace {

// The start of the backend server that is announced now.
BackendStart currentStart(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    return BackendStart{backend.id_, backend.incarnation_};
}

} // namespace

void handle(World &world, const BackendStated &event)
{
    if (event.backend_ != currentStart(world)) {
        return;
    }
    world.admissions_.backend_.isNoticeKnown_ = true;
    applyStatedLimit(world, event);
    if (event.notice_.isLeaving_) {
        recordLeaving(world, event.backend_);
    }
}

void recordLeaving(World &world, const BackendStart &start)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (start.id_.value().empty() || start != currentStart(world) || backend.isLeaving_) {
        return;
    }
    backend.isLeaving_ = true;
    world.emit(LogStateChange{"backend server " + backend.service_.value() + " states that it leaves"});
    if (backend.state_ != BackendState::Absent) {
        setBackendState(world, BackendState::Draining);
    }
}

void resetNotices(World &world)
{
    LocalBackend &backend = world.admissions_.backend_;
    backend.isLeaving_ = false;
    backend.isNoticeKnown_ = false;
    backend.hasBeenChecked_ = false;
    const std::int32_t reserved = world.admissions_.limit_.reserved_;
    world.admissions_.limit_ = RequestLimitTable{};
    world.admissions_.limit_.reserved_ = reserved;
}

bool awaitsNotice(World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    if (backend.isNoticeKnown_) {
        return false;
    }
    if (canCheckBackend(world) && !backend.hasBeenChecked_) {
        startCheck(world);
        return true;
    }
    return world.admissions_.inFlight_ > Slots();
}

} // namespace radishford

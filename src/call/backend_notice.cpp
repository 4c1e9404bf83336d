// What the local backend server states about itself in its responses: its request limit, and that it leaves.
#include "call/backend_notice_func.h"

#include "call/backend_func.h"
#include "call/backend_speed_func.h"
#include "call/request_limit_func.h"
#include "fleet/gossip_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

constexpr std::size_t MaxLeavingStarts = 8;

// Remembers a start that is not announced now.
void rememberLeavingStart(World &world, BackendStartHash start)
{
    std::deque<BackendStartHash> &starts = world.admissions_.leavingStarts_;
    if (std::find(starts.begin(), starts.end(), start) != starts.end()) {
        return;
    }
    starts.push_back(start);
    if (starts.size() > MaxLeavingStarts) {
        starts.pop_front();
    }
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
        recordLeaving(world, hashOf(event.backend_));
    }
}

void recordLeaving(World &world, BackendStartHash start)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (start == BackendStartHash()) {
        return;
    }
    if (start != hashOf(currentStart(world))) {
        rememberLeavingStart(world, start);
        return;
    }
    if (backend.isLeaving_) {
        return;
    }
    backend.isLeaving_ = true;
    world.emit(LogStateChange{"backend server " + backend.service_.value() + " leaves"});
    if (backend.state_ != BackendState::Absent) {
        setBackendState(world, BackendState::Draining);
    }
    publishOwnRecord(world);
}

bool wasRecordedLeaving(const World &world)
{
    const std::deque<BackendStartHash> &starts = world.admissions_.leavingStarts_;
    return std::find(starts.begin(), starts.end(), hashOf(currentStart(world))) != starts.end();
}

void resetNotices(World &world)
{
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

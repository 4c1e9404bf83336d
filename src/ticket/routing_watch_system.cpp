// Keeps the desired state up to date with the platform's store: reads it once, then watches for changes from the revision of that read.
#include "fleet/gossip_func.h"
#include "store/store_func.h"
#include "ticket/routing_watch_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Delay after a first failure. It doubles with each further failure, up to the maximum.
constexpr Millis FirstRetryDelay{100};
constexpr Millis MaxRetryDelay{1000};
constexpr std::int32_t MaxDoublings = 4;
// Limits of the time that the store waits for a change before it responds to a watch.
constexpr Millis MinWatchWait{1000};
constexpr Millis MaxWatchWait{25000};

// Sets the time of the next request after a number of earlier failures. The delay is random, so that daemons do not retry all at once.
void scheduleRetry(World &world, std::int32_t earlierFailures)
{
    RoutingWatchTable &watch = world.routingWatch_;
    const std::int32_t doublings = std::min(earlierFailures, MaxDoublings);
    const Millis delay = std::min(MaxRetryDelay, FirstRetryDelay * (std::int64_t{1} << doublings));
    const double jittered = delay.fractionalMillis() * (0.5 + world.random_.uniformReal() / 2);
    watch.nextRequestAt_ = world.now_ + Millis::fromFractionalMillis(jittered);
}

// Returns the hold time with which the watches of the whole fleet end at the rate of reads.
Millis fullWatchWait(const World &world)
{
    constexpr double MillisPerSecond = 1000.0;
    const double daemons = static_cast<double>(world.fleet_.rows_.size());
    const Millis wait = Millis::fromFractionalMillis(daemons / world.settings_.storePollsPerSecond_ * MillisPerSecond);
    return std::clamp(wait, MinWatchWait, MaxWatchWait);
}

// Returns the hold time of the next watch. Only a response shows that the store was restored, so that in the whole fleet watches must end
// evenly over time. A change or an outage starts all of them at once, so that the first hold time is random; with the full one after it
// they stay apart.
Millis drawWatchWait(World &world)
{
    const Millis full = fullWatchWait(world);
    const bool hasEndedByItself = world.routingWatch_.isWatch_ && world.now_ >= world.routingWatch_.heldUntil_;
    const double share = hasEndedByItself ? 1.0 : world.random_.uniformReal();
    const Millis wait = MinWatchWait + Millis::fromFractionalMillis((full - MinWatchWait).fractionalMillis() * share);
    return Millis(wait.count());
}

// Applies the desired state of a response, unless the same or a newer one is active, and announces it to other daemons.
void applyRouting(World &world, const StoreResponse &response)
{
    if (response.routing_.empty()) {
        return;
    }
    world.tickets_.isVerified_ = true;
    const TicketObject &object = response.routing_.front();
    if (applyObject(world, object)) {
        advanceHighestTicket(world, object.number_);
        pingOneDaemonPerDomain(world);
    }
}

// Counts positions in a row that the store did not keep. The first one may be old, so that the next read is sent at once; the further ones
// show that reading at once is of no use.
void updateCompactions(World &world, bool isHistoryLost)
{
    RoutingWatchTable &watch = world.routingWatch_;
    if (!isHistoryLost) {
        watch.compactions_ = watch.isWatch_ ? 0 : watch.compactions_;
        return;
    }
    if (watch.compactions_ > 0) {
        scheduleRetry(world, watch.compactions_);
    }
    ++watch.compactions_;
}

} // namespace

bool handleRoutingWatchResponse(World &world, std::uint64_t request, const StoreResponse &response)
{
    RoutingWatchTable &watch = world.routingWatch_;
    if (request != watch.storeRequestId_ || request == 0) {
        return false;
    }
    watch.storeRequestId_ = 0;
    watch.nextRequestAt_ = world.now_;
    if (!response.ok_) {
        if (watch.failures_ == 0) {
            world.emit(LogStateChange{"store lost: " + std::string(watch.isWatch_ ? "watch" : "read") + " without an answer"});
        }
        world.counters_.add(Counter::StoreFailures);
        // The store may come back with an older revision, so that the next request is a read.
        watch.hasRevision_ = false;
        scheduleRetry(world, watch.failures_++);
        return true;
    }
    if (watch.failures_ > 0) {
        world.emit(LogStateChange{"store regained after " + std::to_string(watch.failures_) + " failures"});
    }
    watch.failures_ = 0;
    applyRouting(world, response);
    // A revision below the position shows that the store has lost history, also when it reports no era.
    const bool isHistoryLost = response.isHistoryCompacted_ || (watch.isWatch_ && response.revision_ < watch.watchFrom_);
    watch.hasRevision_ = !isHistoryLost;
    watch.watchFrom_ = response.revision_;
    updateCompactions(world, isHistoryLost);
    return true;
}

void restartRoutingWatch(World &world)
{
    RoutingWatchTable &watch = world.routingWatch_;
    watch.hasRevision_ = false;
    // A pending read has no position, so that its response remains valid if it is of the new era.
    if (watch.storeRequestId_ != 0 && watch.isWatch_) {
        watch.storeRequestId_ = 0;
        watch.nextRequestAt_ = world.now_;
    }
}

void runRoutingWatch(World &world)
{
    RoutingWatchTable &watch = world.routingWatch_;
    if (!world.settings_.isRouted_ || watch.storeRequestId_ != 0 || world.now_ < watch.nextRequestAt_) {
        return;
    }
    if (watch.hasRevision_) {
        const Millis wait = drawWatchWait(world);
        watch.heldUntil_ = world.now_ + wait;
        watch.storeRequestId_ = sendStoreRequest(world, RoutingWatch{watch.watchFrom_, wait});
    } else {
        watch.storeRequestId_ = sendStoreRequest(world, RoutingRead{});
    }
    watch.isWatch_ = watch.hasRevision_;
}

Millis nextRoutingWatchDue(const World &world)
{
    const bool idle = world.settings_.isRouted_ && world.routingWatch_.storeRequestId_ == 0;
    return idle ? world.routingWatch_.nextRequestAt_ : Millis::never();
}

} // namespace radishford

// Keeps quarantines in the platform's store, for the loss of all daemons.
#include "store/quarantine_store_func.h"

#include "call/suspect_func.h"
#include "fleet/instance_func.h"
#include "store/store_func.h"
#include "world/world.h"

#include <algorithm>
#include <utility>

namespace radishford {

namespace {

// Maximum number of changes that wait. The oldest are dropped beyond it.
constexpr std::size_t MaxWaiting = 128;
// Time after which a daemon that does not write looks again whether the one that does has written.
constexpr Millis ReviewInterval{2000};
// Delay after the first failed request; each further failure doubles it up to the maximum.
constexpr Millis InitialRetryDelay{500};
constexpr std::int32_t MaxRetryDoublings = 5;

// True when this daemon writes for all: of those that it believes to run, it has the first name.
bool isWriter(const World &world)
{
    bool isFirst = true;
    world.fleet_.rows_.forEach([&](InstanceId id, const Instance &instance) {
        isFirst = isFirst && (id == world.fleet_.self_ || !isRunning(instance) || instance.record_.name_ > world.settings_.name_);
    });
    return isFirst;
}

// True when a change is still to be made, by this daemon or another one.
bool isOutstanding(const World &world, const QuarantineChange &change)
{
    const bool isInQuarantine = isQuarantinedByFailures(world, change.fingerprint_);
    if (change.isRemoval_) {
        return !isInQuarantine;
    }
    return isInQuarantine && (change.isRepeated_ || !recordOf(world, change.fingerprint_).isStored_);
}

// Adds a change, which replaces an earlier one of the same request.
void addChange(World &world, const QuarantineChange &change)
{
    auto &waiting = world.quarantineStore_.waiting_;
    if (!world.settings_.isRouted_) {
        return;
    }
    std::erase_if(waiting, [&](const QuarantineChange &other) { return other.fingerprint_ == change.fingerprint_; });
    waiting.push_back(change);
    if (waiting.size() > MaxWaiting) {
        waiting.pop_front();
    }
}

// Sends the request of a change.
void sendChange(World &world, const QuarantineChange &change)
{
    QuarantineStoreTable &table = world.quarantineStore_;
    const StoreOperation operation
        = change.isRemoval_ ? StoreOperation(QuarantineDelete{change.fingerprint_}) : StoreOperation(QuarantinePut{recordOf(world, change.fingerprint_)});
    table.pending_ = change;
    table.pendingRequest_ = sendStoreRequest(world, operation);
}

// Records that the row of a request is in the store. It is deleted again if the quarantine has ended meanwhile.
void recordStored(World &world, Fingerprint fingerprint)
{
    const auto row = world.suspects_.rows_.find(fingerprint);
    if (row != world.suspects_.rows_.end()) {
        row->second.isStored_ = true;
    }
    if (!isQuarantinedByFailures(world, fingerprint)) {
        removeStoredQuarantine(world, fingerprint);
    }
}

} // namespace

void storeQuarantine(World &world, Fingerprint fingerprint, bool wasStored)
{
    addChange(world, QuarantineChange{fingerprint, false, wasStored});
}

void removeStoredQuarantine(World &world, Fingerprint fingerprint)
{
    addChange(world, QuarantineChange{fingerprint, true, false});
}

void applyStoredQuarantines(World &world, const StoreResponse &response)
{
    for (SuspectRecord record : response.quarantines_) {
        record.isStored_ = true;
        record.remaining_ = suspectDuration(world);
        mergeSuspect(world, record);
        if (!isQuarantinedByFailures(world, record.fingerprint_)) {
            removeStoredQuarantine(world, record.fingerprint_);
        }
    }
}

bool handleQuarantineResponse(World &world, std::uint64_t request, const StoreResponse &response)
{
    QuarantineStoreTable &table = world.quarantineStore_;
    if (request == 0 || request != table.pendingRequest_) {
        return false;
    }
    table.pendingRequest_ = 0;
    const QuarantineChange change = *std::exchange(table.pending_, std::nullopt);
    if (!response.ok_) {
        world.counters_.add(Counter::StoreFailures);
        table.nextAt_ = world.now_ + InitialRetryDelay * (std::int64_t{1} << std::min(table.consecutiveFailures_, MaxRetryDoublings));
        ++table.consecutiveFailures_;
        const bool isReplaced = std::any_of(table.waiting_.begin(), table.waiting_.end(),
                                            [&](const QuarantineChange &later) { return later.fingerprint_ == change.fingerprint_; });
        if (!isReplaced) {
            addChange(world, change);
        }
        return true;
    }
    table.consecutiveFailures_ = 0;
    if (!change.isRemoval_) {
        recordStored(world, change.fingerprint_);
    }
    return true;
}

void restartQuarantineStore(World &world)
{
    for (const auto &[fingerprint, suspect] : world.suspects_.rows_) {
        if (suspect.isStored_) {
            addChange(world, QuarantineChange{fingerprint, false, true});
        }
    }
}

void runQuarantineStore(World &world)
{
    QuarantineStoreTable &table = world.quarantineStore_;
    if (table.waiting_.empty() || table.pendingRequest_ != 0 || world.now_ < table.nextAt_) {
        return;
    }
    std::erase_if(table.waiting_, [&](const QuarantineChange &change) { return !isOutstanding(world, change); });
    if (!isWriter(world)) {
        // The writer has the same removals and repetitions. A new quarantine waits here until its record says that it is stored.
        std::erase_if(table.waiting_, [](const QuarantineChange &change) { return change.isRemoval_ || change.isRepeated_; });
        table.nextAt_ = world.now_ + ReviewInterval;
        return;
    }
    if (!table.waiting_.empty()) {
        const QuarantineChange change = table.waiting_.front();
        table.waiting_.pop_front();
        sendChange(world, change);
    }
}

Millis nextQuarantineStoreDue(const World &world)
{
    const QuarantineStoreTable &table = world.quarantineStore_;
    return table.waiting_.empty() || table.pendingRequest_ != 0 ? Millis::never() : table.nextAt_;
}

} // namespace radishford

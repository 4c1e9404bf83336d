// Discovery of other daemons through the member list in the platform's store. A daemon writes its row before it reads the list, so
// that of two daemons that start at the same time at least one finds the other. Heartbeats then exchange the remaining records. After a
// restore of the store, which may have lost the row, it is written again.
#include "fleet/directory_func.h"

#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "store/quarantine_store_func.h"
#include "store/store_func.h"
#include "world/world.h"

#include <algorithm>
#include <utility>

namespace radishford {

namespace {

// Delay after the first failed request; each further failure doubles it up to the maximum.
constexpr Millis InitialRetryDelay{200};
constexpr Millis MaxRetryDelay{2000};
// Maximum number of doublings. After four, the delay already exceeds MaxRetryDelay.
constexpr std::int32_t MaxRetryDoublings = 4;
// Interval at which unknown members of the last read are pinged again. The member list is read again only while no other daemon is known
// to run.
constexpr Millis RediscoveryInterval{3000};
// Maximum number of daemons pinged at a time; heartbeats spread the records of the others.
constexpr std::size_t MaxPingsPerRead = 16;
// Number of these that go to the members whose rows were written last.
constexpr std::size_t MaxPingsOfLatest = 4;

// Part of the fleet's write rate that the daemons use to write their rows again after a restore of the store.
constexpr double RewriteShare = 0.5;
constexpr double MillisPerSecond = 1000.0;

// Schedules the next request after a failure, with random jitter so that the daemons do not retry all at once.
void scheduleRetry(World &world)
{
    DirectoryTable &directory = world.directory_;
    const std::int32_t doublings = std::min(directory.consecutiveFailures_, MaxRetryDoublings);
    ++directory.consecutiveFailures_;
    const Millis maxDelay = std::min(MaxRetryDelay, InitialRetryDelay * (std::int64_t{1} << doublings));
    const double delayMs = maxDelay.fractionalMillis() * (0.5 + world.random_.uniformReal() / 2);
    directory.nextAt_ = world.now_ + Millis::fromFractionalMillis(delayMs);
}

// Pings up to a number of daemons that are not known yet, from a row of the list on.
void pingUnknownMembers(World &world, std::size_t firstRow, std::size_t maxPings)
{
    const std::vector<MemberRow> &rows = world.directory_.rows_;
    std::size_t pinged = 0;
    for (std::size_t step = 0; step < rows.size() && pinged < maxPings; ++step) {
        const MemberRow &row = rows[(firstRow + step) % rows.size()];
        const bool isKnown = world.fleet_.byAddress_.contains(row.address_);
        if (!isKnown && row.name_ != world.settings_.name_) {
            pingAddress(world, row.address_);
            ++pinged;
        }
    }
}

// Pings daemons that are not known yet: some whose rows were written last, which run after a loss of all daemons, and others from a random row on.
void pingUnknownMembers(World &world)
{
    const std::vector<MemberRow> &rows = world.directory_.rows_;
    if (!rows.empty()) {
        pingUnknownMembers(world, 0, MaxPingsOfLatest);
        pingUnknownMembers(world, world.random_.uniformBelow(rows.size()), MaxPingsPerRead - MaxPingsOfLatest);
    }
}

// Adds a part of the list to the read in progress. Returns true when the read is complete. A part that begins with the row that ended the previous one overlaps
// with it.
bool addPart(DirectoryTable &directory, const StoreResponse &response)
{
    for (const MemberRow &row : response.members_) {
        if (directory.partialRows_.empty() || directory.partialRows_.back().name_ < row.name_) {
            directory.partialRows_.push_back(row);
        }
    }
    const bool isProgress = directory.readFrom_ < response.moreMembersFrom_;
    directory.readFrom_ = isProgress ? response.moreMembersFrom_ : InstanceName();
    return !isProgress;
}

// True when this daemon knows of no other running daemon.
bool isOnlyKnownDaemon(const World &world)
{
    return world.fleet_.runningCount_ <= 1;
}

} // namespace

bool handleDirectoryResponse(World &world, std::uint64_t request, const StoreResponse &response)
{
    DirectoryTable &directory = world.directory_;
    if (request != directory.pendingRequest_ || request == 0) {
        return false;
    }
    directory.pendingRequest_ = 0;
    if (!response.ok_) {
        world.counters_.add(Counter::StoreFailures);
        scheduleRetry(world);
        return true;
    }
    directory.consecutiveFailures_ = 0;
    if (directory.nextStep_ == DirectoryStep::WriteOwnRow) {
        // After a restore, daemons whose rows are new to the list find this one by its row, or by heartbeats of the others.
        const bool hasRead = !directory.rows_.empty() && !isOnlyKnownDaemon(world);
        directory.nextStep_ = hasRead ? DirectoryStep::Idle : DirectoryStep::ReadMembers;
        directory.nextAt_ = world.now_;
        return true;
    }
    applyStoredQuarantines(world, response);
    if (!addPart(directory, response)) {
        directory.nextAt_ = world.now_;
        return true;
    }
    directory.rows_ = std::exchange(directory.partialRows_, {});
    std::stable_sort(directory.rows_.begin(), directory.rows_.end(),
                     [](const MemberRow &first, const MemberRow &second) { return first.revision_ > second.revision_; });
    pingUnknownMembers(world);
    directory.nextStep_ = DirectoryStep::Idle;
    directory.nextAt_ = world.now_ + RediscoveryInterval;
    return true;
}

void restartDirectory(World &world)
{
    DirectoryTable &directory = world.directory_;
    const double daemons = static_cast<double>(world.fleet_.rows_.size());
    const double delayMs = daemons / (world.settings_.storeWritesPerSecond_ * RewriteShare) * MillisPerSecond * world.random_.uniformReal();
    directory.pendingRequest_ = 0;
    directory.partialRows_.clear();
    directory.readFrom_ = InstanceName();
    directory.nextStep_ = DirectoryStep::WriteOwnRow;
    directory.nextAt_ = world.now_ + Millis::fromFractionalMillis(delayMs);
}

void runDirectory(World &world)
{
    DirectoryTable &directory = world.directory_;
    if (!world.settings_.isRouted_ || directory.pendingRequest_ != 0 || world.now_ < directory.nextAt_) {
        return;
    }
    switch (directory.nextStep_) {
    case DirectoryStep::WriteOwnRow:
        directory.pendingRequest_ = sendStoreRequest(world, MemberPut{MemberRow{world.settings_.name_, world.settings_.address_}});
        break;
    case DirectoryStep::ReadMembers:
        directory.pendingRequest_ = sendStoreRequest(world, MemberList{directory.readFrom_});
        break;
    case DirectoryStep::Idle:
        pingUnknownMembers(world);
        directory.nextStep_ = isOnlyKnownDaemon(world) ? DirectoryStep::ReadMembers : DirectoryStep::Idle;
        directory.nextAt_ = world.now_ + RediscoveryInterval;
        break;
    }
}

Millis nextDirectoryDue(const World &world)
{
    const bool idle = world.settings_.isRouted_ && world.directory_.pendingRequest_ == 0;
    return idle ? world.directory_.nextAt_ : Millis::never();
}

} // namespace radishford

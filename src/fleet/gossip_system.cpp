// Heartbeats between daemons, modelled on SWIM: random ping targets, indirect pings, suspicion, and instance records that are sent
// inside heartbeat messages.
#include "call/backend_func.h"
#include "call/backend_notice_func.h"
#include "call/suspect_func.h"
#include "call/suspect_sync_func.h"
#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "measure/probe_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>

namespace radishford {

namespace {

// Interval between the heartbeats of one daemon.
constexpr Millis HeartbeatInterval{1000};
// A target that has not acknowledged a ping for this long is pinged through other daemons.
constexpr Millis IndirectPingAfter{300};
// A target that has not acknowledged a ping for this long becomes suspect.
constexpr Millis SuspectAfter{1000};
// An instance that does not refute the suspicion for this long is declared dead.
constexpr Millis SuspicionTimeout{3000};
// Rows of dead and left instances are kept for this long, so that delayed gossip records cannot revive them.
constexpr Millis RemoveAfter{600000};
// Number of other daemons asked to ping a target that did not acknowledge.
constexpr int IndirectPingCount = 2;
// Records that fit into one datagram together with the header.
constexpr std::size_t MaxRecordsPerDatagram = 7;
// Additional records in one datagram to a daemon whose table differs.
constexpr std::size_t SyncRecordsPerDatagram = 5;
// One seed is pinged every time this many periods have passed.
constexpr std::uint64_t SeedPingPeriods = 30;
// Several seeds are pinged in each of the first periods, and while no other daemon is known.
constexpr std::uint64_t JoinPhasePeriods = 5;
constexpr std::size_t SeedsPerJoinPeriod = 3;
// A dead daemon is pinged every time this many periods have passed, so that regions rejoin after a network partition.
constexpr std::uint64_t DeadPingPeriods = 5;
// Maximum number of datagrams sent at once to a joining daemon, and the minimum interval between two such transfers.
constexpr std::size_t MaxJoinDatagrams = 64;
constexpr Millis MinJoinTransferInterval{50};
// In a large fleet, a daemon that knows less than nine tenths of the running instances counts as joining.
constexpr std::size_t JoinedTenths = 9;
constexpr std::size_t AllTenths = 10;
// Rows checked for removal in one period.
constexpr std::size_t RowsPerRemovalPass = 64;
// Of a thousand heartbeats, 700 go to the daemon's failure domain, 200 to other failure domains of its region and 100 to other regions.
constexpr std::uint64_t DomainPermille = 700;
constexpr std::uint64_t RegionPermille = 900;
constexpr std::uint64_t AllPermille = 1000;

// Appends queued records to a message. Each row has a limited number of transmissions.
void appendQueuedRecords(World &world, std::vector<InstanceRecord> &records)
{
    FleetTable &fleet = world.fleet_;
    const std::size_t candidates = fleet.gossipQueue_.size();
    for (std::size_t seen = 0; seen < candidates && records.size() < MaxRecordsPerDatagram; ++seen) {
        const InstanceId id = fleet.gossipQueue_.front();
        fleet.gossipQueue_.pop_front();
        Instance *row = fleet.rows_.get(id);
        if (row == nullptr || row->remainingTransmissions_ <= 0) {
            continue;
        }
        if (id != fleet.self_) {
            records.push_back(row->record_);
        }
        --row->remainingTransmissions_;
        if (row->remainingTransmissions_ > 0) {
            fleet.gossipQueue_.push_back(id);
        }
    }
}

// Appends the next running rows of the table to a message for a daemon whose table differs.
void appendSyncRecords(World &world, std::vector<InstanceRecord> &records)
{
    FleetTable &fleet = world.fleet_;
    const std::size_t wanted = std::min(MaxRecordsPerDatagram, records.size() + SyncRecordsPerDatagram);
    for (std::size_t seen = 0; seen < fleet.rows_.capacity() && records.size() < wanted; ++seen) {
        fleet.nextSyncRow_ = (fleet.nextSyncRow_ + 1) % fleet.rows_.capacity();
        const Instance *row = fleet.rows_.get(fleet.rows_.idAt(fleet.nextSyncRow_));
        if (row != nullptr && isRunning(*row)) {
            records.push_back(row->record_);
        }
    }
}

// Creates the header of a heartbeat message; this daemon's record comes first.
GossipHeader makeHeader(World &world, std::uint32_t sequence, bool includeSync)
{
    const FleetTable &fleet = world.fleet_;
    const Instance &self = *fleet.rows_.get(fleet.self_);
    GossipHeader header;
    header.sender_ = self.record_.name_;
    header.sequence_ = sequence;
    header.tableHash_ = fleet.tableHash_;
    header.runningCount_ = static_cast<std::uint32_t>(fleet.runningCount_);
    header.ticket_ = world.tickets_.highestTicket_;
    header.suspectsHash_ = suspectsHash(world);
    header.isCurrent_ = world.tickets_.isCurrent_;
    header.records_.push_back(self.record_);
    appendQueuedRecords(world, header.records_);
    if (includeSync) {
        appendSyncRecords(world, header.records_);
    }
    return header;
}

// Emits a heartbeat datagram, which is accounted to the membership traffic.
void sendHeartbeatDatagram(World &world, const Address &to, Datagram datagram)
{
    world.emit(SendDatagram{to, regionOfAddress(world, to), std::move(datagram), MessagePurpose::Membership});
}

// Sends a ping. It is tracked until its acknowledgement only if the target is in the table and believed to run.
void sendPing(World &world, InstanceId target, const Address &to)
{
    FleetTable &fleet = world.fleet_;
    const std::uint32_t sequence = ++fleet.sequence_;
    Ping ping{makeHeader(world, sequence, false)};
    const Instance *row = fleet.rows_.get(target);
    const bool isStopped = row != nullptr && !isRunning(*row);
    if (isStopped) {
        // Contains the record that lists the target as dead or left, so that the target refutes it.
        ping.header_.records_.push_back(row->record_);
    }
    sendHeartbeatDatagram(world, to, std::move(ping));
    world.counters_.add(Counter::PingsSent);
    if (target.isValid() && !isStopped) {
        fleet.pendingPings_.push_back(PendingPing{sequence, target, world.now_, false});
    }
}

// Picks a random running instance of a list, other than this daemon; invalid when there is none.
InstanceId pickRunning(World &world, const std::vector<InstanceId> &ids)
{
    if (ids.empty()) {
        return InstanceId{};
    }
    const std::size_t start = world.random_.uniformBelow(ids.size());
    for (std::size_t step = 0; step < ids.size(); ++step) {
        const InstanceId id = ids[(start + step) % ids.size()];
        if (id != world.fleet_.self_ && isRunning(*world.fleet_.rows_.get(id))) {
            return id;
        }
    }
    return InstanceId{};
}

// Picks a random running instance of another failure domain, either in this daemon's region or in the other regions.
InstanceId pickInOtherDomain(World &world, bool inOwnRegion)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    const std::size_t domains = world.fleet_.byDomain_.size();
    const std::size_t start = world.random_.uniformBelow(domains);
    for (std::size_t step = 0; step < domains; ++step) {
        const FailureDomainId domain(static_cast<std::uint8_t>((start + step) % domains));
        const bool sameRegion = regionOfDomain(world, domain) == self.region_;
        if (domain == self.domain_ || sameRegion != inOwnRegion) {
            continue;
        }
        const InstanceId id = pickRunning(world, world.fleet_.byDomain_[domain.value()]);
        if (id.isValid()) {
            return id;
        }
    }
    return InstanceId{};
}

// Picks the target of the next heartbeat: mostly in the same failure domain, rarely in other regions.
InstanceId pickPingTarget(World &world)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    const std::uint64_t roll = world.random_.uniformBelow(AllPermille);
    const InstanceId inDomain = pickRunning(world, world.fleet_.byDomain_[self.domain_.value()]);
    const InstanceId inRegion = pickInOtherDomain(world, true);
    const InstanceId inOtherRegion = pickInOtherDomain(world, false);
    std::array<InstanceId, 3> order{inDomain, inRegion, inOtherRegion};
    if (roll >= RegionPermille) {
        order = {inOtherRegion, inRegion, inDomain};
    } else if (roll >= DomainPermille) {
        order = {inRegion, inDomain, inOtherRegion};
    }
    const auto found = std::find_if(order.begin(), order.end(), [](InstanceId id) { return id.isValid(); });
    return found == order.end() ? InstanceId{} : *found;
}

// Pings a few seeds, starting at a random one. A daemon that has just started can receive records from seeds only.
void pingSeeds(World &world)
{
    const auto &seeds = world.settings_.seeds_;
    const bool isJoining = world.fleet_.rows_.size() <= 1 || world.fleet_.periodCount_ < JoinPhasePeriods;
    if (seeds.empty() || (!isJoining && world.fleet_.periodCount_ % SeedPingPeriods != 0)) {
        return;
    }
    const std::size_t start = world.random_.uniformBelow(seeds.size());
    const std::size_t count = isJoining ? std::min(SeedsPerJoinPeriod, seeds.size()) : 1;
    for (std::size_t step = 0; step < count; ++step) {
        const Address &seed = seeds[(start + step) % seeds.size()];
        if (seed != world.settings_.address_) {
            sendPing(world, findInstanceByAddress(world, seed), seed);
        }
    }
}

// Pings one dead instance, which may be running behind a network partition.
void pingDeadInstance(World &world)
{
    if (world.fleet_.periodCount_ % DeadPingPeriods != 0) {
        return;
    }
    std::vector<InstanceId> deadIds;
    const std::size_t start = world.fleet_.nextRemovalRow_;
    for (std::size_t step = 0; step < std::min(RowsPerRemovalPass, world.fleet_.rows_.capacity()); ++step) {
        const InstanceId id = world.fleet_.rows_.idAt((start + step) % world.fleet_.rows_.capacity());
        const Instance *row = world.fleet_.rows_.get(id);
        if (row != nullptr && row->record_.health_ == Health::Dead) {
            deadIds.push_back(id);
        }
    }
    if (!deadIds.empty()) {
        const InstanceId id = deadIds[world.random_.uniformBelow(deadIds.size())];
        sendPing(world, id, world.fleet_.rows_.get(id)->record_.address_);
    }
}

// Removes rows of instances that have been dead or left for long. Each call checks one slice of the table.
void removeOldRows(World &world)
{
    FleetTable &fleet = world.fleet_;
    for (std::size_t step = 0; step < std::min(RowsPerRemovalPass, fleet.rows_.capacity()); ++step) {
        fleet.nextRemovalRow_ = (fleet.nextRemovalRow_ + 1) % fleet.rows_.capacity();
        const InstanceId id = fleet.rows_.idAt(fleet.nextRemovalRow_);
        const Instance *row = fleet.rows_.get(id);
        const bool isStopped = row != nullptr && !isRunning(*row);
        if (isStopped && id != fleet.self_ && world.now_ - row->healthChangedAt_ > RemoveAfter) {
            removeInstance(world, id);
        }
    }
}

// Asks other daemons to ping a target that has not acknowledged a ping.
void requestIndirectPings(World &world, PendingPing &pending)
{
    pending.isIndirectRequested_ = true;
    const Address target = world.fleet_.rows_.get(pending.target_)->record_.address_;
    for (int index = 0; index < IndirectPingCount; ++index) {
        const InstanceId id = pickPingTarget(world);
        if (id.isValid() && id != pending.target_) {
            const Address to = world.fleet_.rows_.get(id)->record_.address_;
            sendHeartbeatDatagram(world, to, PingRequest{makeHeader(world, pending.sequence_, false), target});
        }
    }
}

// Checks the unacknowledged pings: requests indirect pings first, and marks the target as suspect after the timeout.
void checkPendingPings(World &world)
{
    std::vector<PendingPing> kept;
    std::vector<PendingPing> pending = std::exchange(world.fleet_.pendingPings_, {});
    for (PendingPing &ping : pending) {
        const Instance *row = world.fleet_.rows_.get(ping.target_);
        if (row == nullptr) {
            continue;
        }
        const Millis age = world.now_ - ping.sentAt_;
        if (age >= SuspectAfter) {
            world.counters_.add(Counter::PingsMissed);
            const bool wasHeard = row->lastHeardAt_ > ping.sentAt_;
            if (row->record_.health_ == Health::Alive && !wasHeard) {
                setHealth(world, ping.target_, Health::Suspect);
            }
            continue;
        }
        if (age >= IndirectPingAfter && !ping.isIndirectRequested_) {
            requestIndirectPings(world, ping);
        }
        kept.push_back(ping);
    }
    world.fleet_.pendingPings_.insert(world.fleet_.pendingPings_.end(), kept.begin(), kept.end());
}

// Declares suspect instances dead when the suspicion timeout has passed.
void checkSuspects(World &world)
{
    FleetTable &fleet = world.fleet_;
    const std::vector<InstanceId> suspects = std::exchange(fleet.suspectRows_, {});
    for (const InstanceId id : suspects) {
        const Instance *row = fleet.rows_.get(id);
        if (row == nullptr || row->record_.health_ != Health::Suspect) {
            continue;
        }
        if (world.now_ - row->healthChangedAt_ >= SuspicionTimeout) {
            setHealth(world, id, Health::Dead);
        } else {
            fleet.suspectRows_.push_back(id);
        }
    }
}

// Merges the records of a header and records the ticket state of its sender.
void mergeHeader(World &world, const Address &from, const GossipHeader &header)
{
    for (const InstanceRecord &record : header.records_) {
        mergeRecord(world, record);
    }
    recordPeerTicket(world, from, header);
}

// True when the sender's table lacks running instances: at least one in a small fleet, more than a tenth of them in a large one.
bool lacksInstances(std::size_t runningAtSender, std::size_t runningLocally)
{
    const bool isSmallFleet = runningLocally <= MaxJoinDatagrams * SyncRecordsPerDatagram;
    return isSmallFleet ? runningAtSender < runningLocally : runningAtSender * AllTenths < runningLocally * JoinedTenths;
}

// Sends a large part of the table to a joining daemon. The messages are acknowledgements with sequence 0, which matches no ping.
void sendTableIfJoining(World &world, const Address &to, std::uint32_t runningAtSender)
{
    FleetTable &fleet = world.fleet_;
    if (!lacksInstances(runningAtSender, fleet.runningCount_) || world.now_ < fleet.nextJoinTransferAt_) {
        return;
    }
    fleet.nextJoinTransferAt_ = world.now_ + MinJoinTransferInterval;
    const std::size_t datagrams = std::min(MaxJoinDatagrams, fleet.runningCount_ / SyncRecordsPerDatagram + 1);
    for (std::size_t sent = 0; sent < datagrams; ++sent) {
        sendHeartbeatDatagram(world, to, Ack{makeHeader(world, 0, true)});
    }
}

// Appends this daemon's record about the sender when it supersedes the one that the sender sent. After its clock stepped back, a
// restarted daemon has a lower incarnation than its previous process, and must refute the old record.
void appendSupersedingRecord(const World &world, const GossipHeader &header, std::vector<InstanceRecord> &records)
{
    const auto known = world.fleet_.byName_.find(header.sender_);
    if (known == world.fleet_.byName_.end() || header.records_.empty()) {
        return;
    }
    const InstanceRecord &localRecord = world.fleet_.rows_.get(known->second)->record_;
    if (supersedes(localRecord, header.records_.front())) {
        records.push_back(localRecord);
    }
}

// Acknowledges a ping.
void handleDatagram(World &world, const Address &from, const Ping &ping)
{
    mergeHeader(world, from, ping.header_);
    sendTableIfJoining(world, from, ping.header_.runningCount_);
    // Sent before the acknowledgement, so that the sender of the ping returns only what this daemon lacks.
    sendSuspectsIfDifferent(world, from, ping.header_.suspectsHash_);
    const bool isTableDifferent = ping.header_.tableHash_ != world.fleet_.tableHash_;
    Ack ack{makeHeader(world, ping.header_.sequence_, isTableDifferent)};
    appendSupersedingRecord(world, ping.header_, ack.header_.records_);
    const auto sender = world.fleet_.byName_.find(ping.header_.sender_);
    if (sender != world.fleet_.byName_.end()) {
        ack.leavingBackend_ = world.fleet_.rows_.get(sender->second)->leavingBackend_;
    }
    sendHeartbeatDatagram(world, from, std::move(ack));
}

// Forwards an acknowledgement to the daemon that requested the ping.
void forwardRelayedAck(World &world, const GossipHeader &header)
{
    auto &relayed = world.fleet_.relayedPings_;
    const auto found = std::find_if(relayed.begin(), relayed.end(), [&](const RelayedPing &ping) { return ping.sequence_ == header.sequence_; });
    if (found == relayed.end()) {
        return;
    }
    sendHeartbeatDatagram(world, found->requester_, Ack{makeHeader(world, found->requesterSequence_, false)});
    relayed.erase(found);
}

// Completes the acknowledged ping.
void handleDatagram(World &world, const Address &from, const Ack &ack)
{
    mergeHeader(world, from, ack.header_);
    recordLeaving(world, ack.leavingBackend_);
    if (ack.header_.sequence_ != 0) {
        sendSuspectsIfDifferent(world, from, ack.header_.suspectsHash_);
    }
    auto &pending = world.fleet_.pendingPings_;
    std::erase_if(pending, [&](const PendingPing &ping) { return ping.sequence_ == ack.header_.sequence_; });
    forwardRelayedAck(world, ack.header_);
}

// Pings an instance on behalf of another daemon.
void handleDatagram(World &world, const Address &from, const PingRequest &request)
{
    mergeHeader(world, from, request.header_);
    const std::uint32_t sequence = ++world.fleet_.sequence_;
    world.fleet_.relayedPings_.push_back(RelayedPing{sequence, from, request.header_.sequence_, world.now_});
    sendHeartbeatDatagram(world, request.target_, Ping{makeHeader(world, sequence, false)});
}

// Creates this daemon's record from its current state.
InstanceRecord makeLocalRecord(const World &world, Health health)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    InstanceRecord record = self.record_;
    const LocalBackend &backend = world.admissions_.backend_;
    record.health_ = health;
    record.service_ = backend.service_;
    record.slots_ = backend.slots_;
    record.backend_ = backend.state_;
    record.leavingBackend_ = backend.isLeaving_ ? hashOf(currentStart(world)) : BackendStartHash();
    const bool isDraining = isShuttingDown(world) || isDrainedByTicket(world, record.name_);
    if (isDraining && backend.state_ == BackendState::Ready) {
        record.backend_ = BackendState::Draining;
    }
    return record;
}

// Replaces this daemon's record by one with a higher version. Clears self_ meanwhile, since mergeRecord refutes records of that row.
void replaceLocalRecord(World &world, InstanceRecord record, std::uint32_t version)
{
    const InstanceId self = world.fleet_.self_;
    record.version_ = version;
    world.fleet_.self_ = InstanceId{};
    mergeRecord(world, record);
    world.fleet_.self_ = self;
}

} // namespace

void initFleetTable(World &world)
{
    world.fleet_.byDomain_.resize(world.settings_.places_.size());
    InstanceRecord record;
    record.name_ = world.settings_.name_;
    record.address_ = world.settings_.address_;
    record.adminAddress_ = world.settings_.adminAddress_;
    record.failureDomain_ = world.settings_.failureDomain_;
    record.incarnation_ = world.settings_.incarnation_;
    record.version_ = 1;
    mergeRecord(world, record);
    world.fleet_.self_ = world.fleet_.byName_.at(record.name_);
    world.fleet_.nextPingAt_ = world.now_;
}

void handle(World &world, const DatagramArrived &event)
{
    std::visit([&](const auto &datagram) { handleDatagram(world, event.from_, datagram); }, event.datagram_);
}

void refute(World &world, const InstanceRecord &received)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    InstanceRecord record = makeLocalRecord(world, self.record_.health_);
    if (received.incarnation_ > record.incarnation_) {
        // A previous process of this instance ran while the clock was ahead.
        record.incarnation_ = Incarnation(received.incarnation_.value() + 1);
    }
    replaceLocalRecord(world, record, received.version_ + 1);
}

void publishOwnRecord(World &world)
{
    const Health health = world.hasExited_ ? Health::Left : Health::Alive;
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    replaceLocalRecord(world, makeLocalRecord(world, health), self.record_.version_ + 1);
}

void pingAddress(World &world, const Address &address)
{
    sendPing(world, findInstanceByAddress(world, address), address);
}

void pingOneDaemonPerDomain(World &world)
{
    for (const std::vector<InstanceId> &domain : world.fleet_.byDomain_) {
        const InstanceId id = pickRunning(world, domain);
        if (id.isValid()) {
            sendPing(world, id, world.fleet_.rows_.get(id)->record_.address_);
        }
    }
}

void runMembership(World &world)
{
    FleetTable &fleet = world.fleet_;
    checkPendingPings(world);
    checkSuspects(world);
    if (world.now_ < fleet.nextPingAt_) {
        return;
    }
    fleet.nextPingAt_ = world.now_ + HeartbeatInterval;
    const InstanceId target = pickPingTarget(world);
    if (target.isValid()) {
        sendPing(world, target, fleet.rows_.get(target)->record_.address_);
    }
    pingSeeds(world);
    pingDeadInstance(world);
    removeOldRows(world);
    std::erase_if(fleet.relayedPings_, [&](const RelayedPing &ping) { return world.now_ - ping.sentAt_ > SuspectAfter; });
    ++fleet.periodCount_;
}

Millis nextMembershipDue(const World &world)
{
    Millis next = world.fleet_.nextPingAt_;
    for (const PendingPing &ping : world.fleet_.pendingPings_) {
        next = std::min(next, ping.sentAt_ + (ping.isIndirectRequested_ ? SuspectAfter : IndirectPingAfter));
    }
    return next;
}

} // namespace radishford

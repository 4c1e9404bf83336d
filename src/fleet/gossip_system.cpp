// Heartbeats between daemons, after SWIM: random targets, indirect pings, suspicion, records that ride on heartbeats.
#include "call/suspect_func.h"
#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "measure/probe_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>

namespace radishford {

namespace {

// Time between heartbeats of one daemon.
constexpr Millis Period{1000};
// A ping without answer for this long is tried through others.
constexpr Millis IndirectAfter{300};
// A ping without answer for this long makes the target suspect.
constexpr Millis SuspectAfter{1000};
// A suspect that does not refute for this long is dead.
constexpr Millis DeadAfter{3000};
// Rows of instances that are gone are kept this long, so that old records cannot revive them.
constexpr Millis ForgetAfter{600000};
// Daemons asked to ping a silent one.
constexpr int IndirectHelpers = 2;
// Records that fit into one datagram beside the header.
constexpr std::size_t MaxRecords = 7;
// Records sent to a daemon whose table differs.
constexpr std::size_t SyncRecords = 5;
// One seed is contacted every so many periods.
constexpr std::uint64_t SeedPeriods = 30;
// Several seeds are contacted in each of the first periods, and while no other daemon is known.
constexpr std::uint64_t JoinPeriods = 5;
constexpr std::size_t JoinSeeds = 3;
// A daemon that is gone is contacted every so many periods, so that regions find each other again after a cut.
constexpr std::uint64_t GonePeriods = 5;
// Datagrams sent at once to a daemon that is joining, and the time between two such helps.
constexpr std::size_t MaxJoinDatagrams = 64;
constexpr Millis TableInterval{50};
// In a large fleet, a daemon that knows fewer than so many tenths of the running instances is joining.
constexpr std::size_t KnownTenths = 9;
constexpr std::size_t WholeTenths = 10;
// Rows looked at in one period for forgetting.
constexpr std::size_t ForgetSlice = 64;
// Of a thousand heartbeats, how many stay in the failure domain, and how many in the region.
constexpr std::uint64_t DomainPermille = 700;
constexpr std::uint64_t RegionPermille = 900;
constexpr std::uint64_t AllPermille = 1000;

// Takes records that still have transmissions left.
void addFresh(World &world, std::vector<InstanceRecord> &records)
{
    FleetTable &fleet = world.fleet_;
    const std::size_t candidates = fleet.fresh_.size();
    for (std::size_t seen = 0; seen < candidates && records.size() < MaxRecords; ++seen) {
        const InstanceId id = fleet.fresh_.front();
        fleet.fresh_.pop_front();
        Instance *row = fleet.rows_.get(id);
        if (row == nullptr || row->transmitsLeft_ <= 0) {
            continue;
        }
        if (id != fleet.self_) {
            records.push_back(row->record_);
        }
        --row->transmitsLeft_;
        if (row->transmitsLeft_ > 0) {
            fleet.fresh_.push_back(id);
        }
    }
}

// Adds the next rows of the sweep, for a daemon whose table differs.
void addSweep(World &world, std::vector<InstanceRecord> &records)
{
    FleetTable &fleet = world.fleet_;
    const std::size_t wanted = std::min(MaxRecords, records.size() + SyncRecords);
    for (std::size_t seen = 0; seen < fleet.rows_.capacity() && records.size() < wanted; ++seen) {
        fleet.syncSweep_ = (fleet.syncSweep_ + 1) % fleet.rows_.capacity();
        const Instance *row = fleet.rows_.get(fleet.rows_.idAt(fleet.syncSweep_));
        if (row != nullptr && isRunning(*row)) {
            records.push_back(row->record_);
        }
    }
}

// Header of a heartbeat message with the own record first.
GossipHeader makeHeader(World &world, std::uint32_t sequence, bool sync)
{
    const FleetTable &fleet = world.fleet_;
    const Instance &self = *fleet.rows_.get(fleet.self_);
    GossipHeader header;
    header.sender_ = self.record_.name_;
    header.sequence_ = sequence;
    header.tableHash_ = fleet.tableHash_;
    header.running_ = static_cast<std::uint32_t>(fleet.running_);
    header.ticket_ = world.tickets_.highest_;
    header.current_ = world.tickets_.current_;
    header.records_.push_back(self.record_);
    addFresh(world, header.records_);
    if (sync) {
        addSweep(world, header.records_);
    }
    return header;
}

// Emits a datagram of the heartbeat protocol.
void sendMembership(World &world, const Address &to, Datagram datagram)
{
    world.emit(SendDatagram{to, regionOf(world, to), std::move(datagram), Purpose::Membership});
}

// Sends a ping and remembers it.
void sendPing(World &world, InstanceId target, const Address &to)
{
    FleetTable &fleet = world.fleet_;
    const std::uint32_t sequence = ++fleet.sequence_;
    Ping ping{makeHeader(world, sequence, false)};
    const Instance *row = fleet.rows_.get(target);
    const bool gone = row != nullptr && !isRunning(*row);
    if (gone) {
        // The target learns that it is held for gone, and refutes it.
        ping.header_.records_.push_back(row->record_);
    }
    sendMembership(world, to, std::move(ping));
    world.counters_.add(Counter::PingsSent);
    if (target.isValid() && !gone) {
        fleet.pending_.push_back(PendingPing{sequence, target, world.now_, false});
    }
}

// A random running instance out of a list, other than this one; invalid when there is none.
InstanceId drawRunning(World &world, const std::vector<InstanceId> &ids)
{
    if (ids.empty()) {
        return InstanceId{};
    }
    const std::size_t start = world.random_.below(ids.size());
    for (std::size_t step = 0; step < ids.size(); ++step) {
        const InstanceId id = ids[(start + step) % ids.size()];
        if (id != world.fleet_.self_ && isRunning(*world.fleet_.rows_.get(id))) {
            return id;
        }
    }
    return InstanceId{};
}

// A random running instance of a random failure domain, in the own region or in the others.
InstanceId drawElsewhere(World &world, bool inOwnRegion)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    const std::size_t domains = world.fleet_.byDomain_.size();
    const std::size_t start = world.random_.below(domains);
    for (std::size_t step = 0; step < domains; ++step) {
        const FailureDomainId domain(static_cast<std::uint8_t>((start + step) % domains));
        const bool sameRegion = regionOfDomain(world, domain) == self.region_;
        if (domain == self.domain_ || sameRegion != inOwnRegion) {
            continue;
        }
        const InstanceId id = drawRunning(world, world.fleet_.byDomain_[domain.value()]);
        if (id.isValid()) {
            return id;
        }
    }
    return InstanceId{};
}

// The next heartbeat's target: mostly in the own failure domain, seldom in other regions.
InstanceId drawTarget(World &world)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    const std::uint64_t dice = world.random_.below(AllPermille);
    const InstanceId near = drawRunning(world, world.fleet_.byDomain_[self.domain_.value()]);
    const InstanceId inRegion = drawElsewhere(world, true);
    const InstanceId far = drawElsewhere(world, false);
    std::array<InstanceId, 3> order{near, inRegion, far};
    if (dice >= RegionPermille) {
        order = {far, inRegion, near};
    } else if (dice >= DomainPermille) {
        order = {inRegion, near, far};
    }
    const auto found = std::find_if(order.begin(), order.end(), [](InstanceId id) { return id.isValid(); });
    return found == order.end() ? InstanceId{} : *found;
}

// Contacts a few seeds from a random one on: records cannot come from anyone else at first.
void pingSeeds(World &world)
{
    const auto &seeds = world.settings_.seeds_;
    const bool joining = world.fleet_.rows_.size() <= 1 || world.fleet_.periods_ < JoinPeriods;
    if (seeds.empty() || (!joining && world.fleet_.periods_ % SeedPeriods != 0)) {
        return;
    }
    const std::size_t start = world.random_.below(seeds.size());
    const std::size_t count = joining ? std::min(JoinSeeds, seeds.size()) : 1;
    for (std::size_t step = 0; step < count; ++step) {
        const Address &seed = seeds[(start + step) % seeds.size()];
        if (seed != world.settings_.address_) {
            sendPing(world, instanceAt(world, seed), seed);
        }
    }
}

// Contacts one instance that is gone, in case it is not.
void pingGone(World &world)
{
    if (world.fleet_.periods_ % GonePeriods != 0) {
        return;
    }
    std::vector<InstanceId> gone;
    const std::size_t start = world.fleet_.forgetSweep_;
    for (std::size_t step = 0; step < std::min(ForgetSlice, world.fleet_.rows_.capacity()); ++step) {
        const InstanceId id = world.fleet_.rows_.idAt((start + step) % world.fleet_.rows_.capacity());
        const Instance *row = world.fleet_.rows_.get(id);
        if (row != nullptr && row->record_.health_ == Health::Dead) {
            gone.push_back(id);
        }
    }
    if (!gone.empty()) {
        const InstanceId id = gone[world.random_.below(gone.size())];
        sendPing(world, id, world.fleet_.rows_.get(id)->record_.address_);
    }
}

// Forgets rows that were gone for long, a slice of the table at a time.
void forgetOld(World &world)
{
    FleetTable &fleet = world.fleet_;
    for (std::size_t step = 0; step < std::min(ForgetSlice, fleet.rows_.capacity()); ++step) {
        fleet.forgetSweep_ = (fleet.forgetSweep_ + 1) % fleet.rows_.capacity();
        const InstanceId id = fleet.rows_.idAt(fleet.forgetSweep_);
        const Instance *row = fleet.rows_.get(id);
        const bool gone = row != nullptr && !isRunning(*row);
        if (gone && id != fleet.self_ && world.now_ - row->healthSince_ > ForgetAfter) {
            forgetInstance(world, id);
        }
    }
}

// Asks other daemons to ping a silent one.
void pingIndirectly(World &world, PendingPing &pending)
{
    pending.indirect_ = true;
    const Address target = world.fleet_.rows_.get(pending.target_)->record_.address_;
    for (int helper = 0; helper < IndirectHelpers; ++helper) {
        const InstanceId id = drawTarget(world);
        if (id.isValid() && id != pending.target_) {
            const Address to = world.fleet_.rows_.get(id)->record_.address_;
            sendMembership(world, to, PingRequest{makeHeader(world, pending.sequence_, false), target});
        }
    }
}

// Judges pings that were not acknowledged.
void judgePending(World &world)
{
    std::vector<PendingPing> kept;
    std::vector<PendingPing> pending = std::exchange(world.fleet_.pending_, {});
    for (PendingPing &ping : pending) {
        const Instance *row = world.fleet_.rows_.get(ping.target_);
        if (row == nullptr) {
            continue;
        }
        const Millis age = world.now_ - ping.sentAt_;
        if (age >= SuspectAfter) {
            world.counters_.add(Counter::PingsMissed);
            const bool heard = row->heardAt_ > ping.sentAt_;
            if (row->record_.health_ == Health::Alive && !heard) {
                setHealth(world, ping.target_, Health::Suspect);
            }
            continue;
        }
        if (age >= IndirectAfter && !ping.indirect_) {
            pingIndirectly(world, ping);
        }
        kept.push_back(ping);
    }
    world.fleet_.pending_.insert(world.fleet_.pending_.end(), kept.begin(), kept.end());
}

// Declares suspects dead that did not refute in time.
void judgeSuspects(World &world)
{
    FleetTable &fleet = world.fleet_;
    const std::vector<InstanceId> suspects = std::exchange(fleet.suspects_, {});
    for (const InstanceId id : suspects) {
        const Instance *row = fleet.rows_.get(id);
        if (row == nullptr || row->record_.health_ != Health::Suspect) {
            continue;
        }
        if (world.now_ - row->healthSince_ >= DeadAfter) {
            setHealth(world, id, Health::Dead);
        } else {
            fleet.suspects_.push_back(id);
        }
    }
}

// Merges what a header carries and takes note of the sender.
void takeHeader(World &world, const Address &from, const GossipHeader &header)
{
    for (const InstanceRecord &record : header.records_) {
        mergeRecord(world, record);
    }
    noteTicket(world, from, header);
}

// True when a daemon that knows so many running instances is behind: by any number in a small fleet, by a tenth in a large one.
bool isBehind(std::size_t runningThere, std::size_t runningHere)
{
    const bool small = runningHere <= MaxJoinDatagrams * SyncRecords;
    return small ? runningThere < runningHere : runningThere * WholeTenths < runningHere * KnownTenths;
}

// Sends a large part of the table to a daemon that is joining, as acknowledgements of nothing.
void helpJoin(World &world, const Address &to, std::uint32_t runningThere)
{
    FleetTable &fleet = world.fleet_;
    if (!isBehind(runningThere, fleet.running_) || world.now_ < fleet.nextTableAt_) {
        return;
    }
    fleet.nextTableAt_ = world.now_ + TableInterval;
    const std::size_t datagrams = std::min(MaxJoinDatagrams, fleet.running_ / SyncRecords + 1);
    for (std::size_t sent = 0; sent < datagrams; ++sent) {
        sendMembership(world, to, Ack{makeHeader(world, 0, true)});
    }
}

// Adds the record that is held here about the sender, when it is newer than the sender's own: after a clock step back, a restarted
// daemon looks older than its predecessor until it refutes that.
void addRumour(const World &world, const GossipHeader &header, std::vector<InstanceRecord> &records)
{
    const auto known = world.fleet_.byName_.find(header.sender_);
    if (known == world.fleet_.byName_.end() || header.records_.empty()) {
        return;
    }
    const InstanceRecord &held = world.fleet_.rows_.get(known->second)->record_;
    if (supersedes(held, header.records_.front())) {
        records.push_back(held);
    }
}

// Answers a ping.
void take(World &world, const Address &from, const Ping &ping)
{
    takeHeader(world, from, ping.header_);
    helpJoin(world, from, ping.header_.running_);
    const bool differs = ping.header_.tableHash_ != world.fleet_.tableHash_;
    Ack ack{makeHeader(world, ping.header_.sequence_, differs)};
    addRumour(world, ping.header_, ack.header_.records_);
    sendMembership(world, from, std::move(ack));
}

// Passes an acknowledgement back to the daemon that asked for the ping.
void passRelayedAck(World &world, const GossipHeader &header)
{
    auto &relayed = world.fleet_.relayed_;
    const auto found = std::find_if(relayed.begin(), relayed.end(), [&](const RelayedPing &ping) { return ping.sequence_ == header.sequence_; });
    if (found == relayed.end()) {
        return;
    }
    sendMembership(world, found->asker_, Ack{makeHeader(world, found->askerSequence_, false)});
    relayed.erase(found);
}

// Settles a ping.
void take(World &world, const Address &from, const Ack &ack)
{
    takeHeader(world, from, ack.header_);
    auto &pending = world.fleet_.pending_;
    std::erase_if(pending, [&](const PendingPing &ping) { return ping.sequence_ == ack.header_.sequence_; });
    passRelayedAck(world, ack.header_);
}

// Pings a third instance for another daemon.
void take(World &world, const Address &from, const PingRequest &request)
{
    takeHeader(world, from, request.header_);
    const std::uint32_t sequence = ++world.fleet_.sequence_;
    world.fleet_.relayed_.push_back(RelayedPing{sequence, from, request.header_.sequence_, world.now_});
    sendMembership(world, request.target_, Ping{makeHeader(world, sequence, false)});
}

// The own record as the daemon's state gives it.
InstanceRecord ownRecord(const World &world, Health health)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    InstanceRecord record = self.record_;
    const LocalBackend &backend = world.admissions_.backend_;
    record.health_ = health;
    record.service_ = backend.service_;
    record.slots_ = backend.slots_;
    record.backend_ = backend.state_;
    const bool draining = isLeaving(world) || isDrainedByTicket(world, record.name_);
    if (draining && backend.state_ == BackendState::Ready) {
        record.backend_ = BackendState::Draining;
    }
    return record;
}

// Replaces the own record by one with a higher version.
void replaceSelf(World &world, InstanceRecord record, std::uint32_t version)
{
    const InstanceId self = world.fleet_.self_;
    record.version_ = version;
    world.fleet_.self_ = InstanceId{};
    mergeRecord(world, record);
    world.fleet_.self_ = self;
}

} // namespace

void startFleet(World &world)
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
    std::visit([&](const auto &datagram) { take(world, event.from_, datagram); }, event.datagram_);
}

void refute(World &world, const InstanceRecord &rumour)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    InstanceRecord record = ownRecord(world, self.record_.health_);
    if (rumour.incarnation_ > record.incarnation_) {
        // An earlier process of this name ran under a clock that was ahead.
        record.incarnation_ = Incarnation(rumour.incarnation_.value() + 1);
    }
    replaceSelf(world, record, rumour.version_ + 1);
}

void publishSelf(World &world, Health health)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    replaceSelf(world, ownRecord(world, health), self.record_.version_ + 1);
}

void contact(World &world, const Address &address)
{
    sendPing(world, instanceAt(world, address), address);
}

void announceWidely(World &world)
{
    for (const std::vector<InstanceId> &domain : world.fleet_.byDomain_) {
        const InstanceId id = drawRunning(world, domain);
        if (id.isValid()) {
            sendPing(world, id, world.fleet_.rows_.get(id)->record_.address_);
        }
    }
}

void runMembership(World &world)
{
    FleetTable &fleet = world.fleet_;
    judgePending(world);
    judgeSuspects(world);
    if (world.now_ < fleet.nextPingAt_) {
        return;
    }
    fleet.nextPingAt_ = world.now_ + Period;
    const InstanceId target = drawTarget(world);
    if (target.isValid()) {
        sendPing(world, target, fleet.rows_.get(target)->record_.address_);
    }
    pingSeeds(world);
    pingGone(world);
    forgetOld(world);
    std::erase_if(fleet.relayed_, [&](const RelayedPing &ping) { return world.now_ - ping.sentAt_ > SuspectAfter; });
    ++fleet.periods_;
}

Millis nextMembership(const World &world)
{
    Millis next = world.fleet_.nextPingAt_;
    for (const PendingPing &ping : world.fleet_.pending_) {
        next = std::min(next, ping.sentAt_ + (ping.indirect_ ? SuspectAfter : IndirectAfter));
    }
    return next;
}

} // namespace radishford

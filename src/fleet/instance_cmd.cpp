// Changes to the instance table and its indexes.
#include "core/hash.h"
#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace radishford {

namespace {

// Number of messages that carry a new record, per doubling of the fleet size.
constexpr int TransmitsPerDoubling = 3;

// True when the record's health means that the daemon is believed to run.
bool isRunning(const InstanceRecord &record)
{
    return record.health_ == Health::Alive || record.health_ == Health::Suspect;
}

// Hash of the parts of a record that all daemons must agree on; zero for dead and left instances.
std::uint64_t recordHash(const InstanceRecord &record)
{
    if (!isRunning(record)) {
        return 0;
    }
    const std::uint64_t name = hashBytes(record.name_.value());
    const std::uint64_t incarnation = record.incarnation_.value();
    const std::uint64_t mixed = incarnation * 0x9E3779B97F4A7C15ULL + record.version_;
    return name ^ (mixed * 0xBF58476D1CE4E5B9ULL);
}

// Removes an id from a list of ids without preserving the order.
void eraseId(std::vector<InstanceId> &ids, InstanceId id)
{
    const auto found = std::find(ids.begin(), ids.end(), id);
    if (found != ids.end()) {
        *found = ids.back();
        ids.pop_back();
    }
}

// Adds a row to the indexes by service and address, to the running count and to the table hash.
void indexRow(FleetTable &fleet, InstanceId id, const InstanceRecord &record)
{
    fleet.tableHash_ ^= recordHash(record);
    fleet.runningCount_ += isRunning(record) ? 1 : 0;
    fleet.byAddress_[record.address_] = id;
    if (!record.service_.value().empty()) {
        fleet.byService_[record.service_].push_back(id);
    }
}

// Reverts indexRow.
void unindexRow(FleetTable &fleet, InstanceId id, const InstanceRecord &record)
{
    fleet.tableHash_ ^= recordHash(record);
    fleet.runningCount_ -= isRunning(record) ? 1 : 0;
    const auto byAddress = fleet.byAddress_.find(record.address_);
    if (byAddress != fleet.byAddress_.end() && byAddress->second == id) {
        fleet.byAddress_.erase(byAddress);
    }
    const auto byService = fleet.byService_.find(record.service_);
    if (byService == fleet.byService_.end()) {
        return;
    }
    eraseId(byService->second, id);
    if (byService->second.empty()) {
        fleet.byService_.erase(byService);
    }
}

// Queues a record for gossip; the number of transmissions grows with the logarithm of the fleet size.
void queueForGossip(FleetTable &fleet, InstanceId id)
{
    Instance &row = *fleet.rows_.get(id);
    if (row.remainingTransmissions_ == 0) {
        fleet.gossipQueue_.push_back(id);
    }
    row.remainingTransmissions_ = TransmitsPerDoubling * static_cast<int>(std::bit_width(fleet.rows_.size() + 1));
}

// Keeps what a record says of a leaving backend server beyond the restart of its daemon.
void keepLeavingBackend(Instance &row)
{
    if (row.record_.leavingBackend_ != BackendStartHash()) {
        row.leavingBackend_ = row.record_.leavingBackend_;
    }
}

// Replaces the record of a row and updates the indexes. Resets the observations about the instance when it has restarted.
void replaceRecord(World &world, InstanceId id, const InstanceRecord &record)
{
    FleetTable &fleet = world.fleet_;
    Instance &row = *fleet.rows_.get(id);
    unindexRow(fleet, id, row.record_);
    const bool healthChanged = row.record_.health_ != record.health_;
    const bool restarted = row.record_.incarnation_ != record.incarnation_;
    row.record_ = record;
    keepLeavingBackend(row);
    indexRow(fleet, id, record);
    if (restarted) {
        row.reportReceivedAt_ = Millis::never();
        row.consecutiveFailures_ = 0;
        row.excludedUntil_ = Millis();
    }
    if (healthChanged) {
        row.healthChangedAt_ = world.now_;
        if (record.health_ == Health::Suspect) {
            fleet.suspectRows_.push_back(id);
        }
    }
    queueForGossip(fleet, id);
}

// Adds a row for a new instance.
InstanceId addRow(World &world, const InstanceRecord &record, FailureDomainId domain)
{
    FleetTable &fleet = world.fleet_;
    Instance row;
    row.record_ = record;
    keepLeavingBackend(row);
    row.domain_ = domain;
    row.region_ = regionOfDomain(world, domain);
    row.healthChangedAt_ = world.now_;
    const InstanceId id = fleet.rows_.create(row);
    fleet.byName_[record.name_] = id;
    fleet.byDomain_[domain.value()].push_back(id);
    indexRow(fleet, id, record);
    if (record.health_ == Health::Suspect) {
        fleet.suspectRows_.push_back(id);
    }
    queueForGossip(fleet, id);
    return id;
}

// Logs the health of an instance after a change.
void logHealthChange(World &world, const InstanceRecord &record)
{
    constexpr std::array<const char *, 4> HealthLogNames{"alive", "suspect", "dead", "left"};
    world.emit(LogStateChange{"instance " + record.name_.value() + " " + HealthLogNames[static_cast<std::size_t>(record.health_)]});
}

} // namespace

BackendStartHash hashOf(const BackendStart &start)
{
    return start.id_.value().empty() ? BackendStartHash() : BackendStartHash(hashBytes(start.id_.value(), start.incarnation_.value()));
}

bool supersedes(const InstanceRecord &first, const InstanceRecord &second)
{
    const auto rank = [](const InstanceRecord &record) { return std::tuple(record.incarnation_, record.version_, record.health_); };
    return rank(first) > rank(second);
}

bool isRunning(const Instance &instance)
{
    return isRunning(instance.record_);
}

bool mergeRecord(World &world, const InstanceRecord &record)
{
    FleetTable &fleet = world.fleet_;
    const int domain = findDomainIndex(world, record.failureDomain_);
    if (domain < 0 || record.name_.value().empty()) {
        world.counters_.add(Counter::RecordsRejected);
        return false;
    }
    const auto known = fleet.byName_.find(record.name_);
    if (known == fleet.byName_.end()) {
        if (!isRunning(record)) {
            return false;
        }
        addRow(world, record, FailureDomainId(static_cast<std::uint8_t>(domain)));
        logHealthChange(world, record);
        return true;
    }
    const InstanceId id = known->second;
    const Instance &row = *fleet.rows_.get(id);
    if (!supersedes(record, row.record_)) {
        return false;
    }
    if (id == fleet.self_) {
        refute(world, record);
        return true;
    }
    const Health before = row.record_.health_;
    replaceRecord(world, id, record);
    if (before != record.health_) {
        logHealthChange(world, record);
    }
    return true;
}

void setHealth(World &world, InstanceId id, Health health)
{
    const Instance *row = world.fleet_.rows_.get(id);
    if (row == nullptr || row->record_.health_ == health) {
        return;
    }
    InstanceRecord record = row->record_;
    record.health_ = health;
    replaceRecord(world, id, record);
    logHealthChange(world, record);
}

void recordDataPathReply(World &world, InstanceId id)
{
    Instance *row = world.fleet_.rows_.get(id);
    if (row != nullptr) {
        row->lastHeardAt_ = world.now_;
    }
}

InstanceId findInstanceByAddress(const World &world, const Address &address)
{
    const auto found = world.fleet_.byAddress_.find(address);
    return found == world.fleet_.byAddress_.end() ? InstanceId{} : found->second;
}

RegionId regionOfAddress(const World &world, const Address &address)
{
    const Instance *row = world.fleet_.rows_.get(findInstanceByAddress(world, address));
    return row == nullptr ? ownRegion(world) : row->region_;
}

RegionId ownRegion(const World &world)
{
    return world.fleet_.rows_.get(world.fleet_.self_)->region_;
}

int findDomainIndex(const World &world, const std::string &name)
{
    const auto &places = world.settings_.places_;
    const auto found = std::find_if(places.begin(), places.end(), [&](const Place &place) { return place.failureDomain_ == name; });
    return found == places.end() ? -1 : static_cast<int>(found - places.begin());
}

RegionId regionOfDomain(const World &world, FailureDomainId domain)
{
    const auto &places = world.settings_.places_;
    const std::string &region = places[domain.value()].region_;
    const auto first = std::find_if(places.begin(), places.end(), [&](const Place &place) { return place.region_ == region; });
    return RegionId(static_cast<std::uint8_t>(first - places.begin()));
}

std::int64_t countRunningInRegion(const World &world, RegionId region)
{
    std::int64_t count = 0;
    for (std::size_t domain = 0; domain < world.fleet_.byDomain_.size(); ++domain) {
        if (regionOfDomain(world, FailureDomainId(static_cast<std::uint8_t>(domain))) != region) {
            continue;
        }
        for (const InstanceId id : world.fleet_.byDomain_[domain]) {
            count += isRunning(*world.fleet_.rows_.get(id)) ? 1 : 0;
        }
    }
    return count;
}

const std::string &regionName(const World &world, RegionId region)
{
    return world.settings_.places_[region.value()].region_;
}

void removeInstance(World &world, InstanceId id)
{
    FleetTable &fleet = world.fleet_;
    const Instance &row = *fleet.rows_.get(id);
    unindexRow(fleet, id, row.record_);
    fleet.byName_.erase(row.record_.name_);
    eraseId(fleet.byDomain_[row.domain_.value()], id);
    fleet.rows_.remove(id);
}

} // namespace radishford

// Compares the membership table with a simple reference implementation, and checks properties of the load balancing strategies.
#define BOOST_TEST_MODULE merge
#include "fake/fake_fleet.h"
#include "fleet/instance_func.h"
#include "measure/selection_func.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Generates a record of one of a few instances with small version numbers, so that ties and conflicts are common.
InstanceRecord generateRecord()
{
    InstanceRecord record;
    record.name_ = InstanceName("x" + std::to_string(*rc::gen::inRange(0, 3)));
    record.address_ = Address{9, static_cast<std::uint16_t>(*rc::gen::inRange(1, 4))};
    record.failureDomain_ = *rc::gen::element<std::string>("r0-a", "r1-b", "nowhere");
    record.incarnation_ = Incarnation(*rc::gen::inRange<std::uint64_t>(1, 3));
    record.version_ = *rc::gen::inRange<std::uint32_t>(1, 4);
    record.health_ = static_cast<Health>(*rc::gen::inRange(0, 4));
    record.service_ = ServiceName(*rc::gen::element<std::string>("", "first", "second"));
    return record;
}

std::tuple<Incarnation, std::uint32_t, Health> precedenceOf(const InstanceRecord &record)
{
    return {record.incarnation_, record.version_, record.health_};
}

} // namespace

// After any sequence of merges each row holds the first record with the highest precedence, and the indexes match a full scan.
RC_BOOST_PROP(membership_merge_equals_naive_merge, ())
{
    FakeFleet fleet(1, 1);
    World &world = fleet.world(0);
    std::map<std::string, InstanceRecord> naive;
    const int count = *rc::gen::inRange(0, 40);
    for (int step = 0; step < count; ++step) {
        const InstanceRecord record = generateRecord();
        mergeRecord(world, record);
        const auto known = naive.find(record.name_.value());
        const bool gone = record.health_ == Health::Dead || record.health_ == Health::Left;
        if (record.failureDomain_ == "nowhere" || (known == naive.end() && gone)) {
            continue;
        }
        if (known == naive.end() || precedenceOf(record) > precedenceOf(known->second)) {
            naive[record.name_.value()] = record;
        }
    }
    std::map<std::string, std::size_t> byService;
    for (const auto &[name, record] : naive) {
        const Instance &row = *world.fleet_.rows_.get(world.fleet_.byName_.at(InstanceName(name)));
        RC_ASSERT(precedenceOf(row.record_) == precedenceOf(record));
        RC_ASSERT(row.record_.service_ == record.service_);
        byService[record.service_.value()] += record.service_.value().empty() ? 0 : 1;
    }
    for (const auto &[service, expected] : byService) {
        const auto found = world.fleet_.byService_.find(ServiceName(service));
        RC_ASSERT((found == world.fleet_.byService_.end() ? 0 : found->second.size()) == expected);
    }
    RC_ASSERT(world.fleet_.rows_.size() == naive.size() + 1);
}

// Two tables that merge the same records in different orders have the same hash.
RC_BOOST_PROP(membership_merge_commutes, ())
{
    std::vector<InstanceRecord> records;
    const int count = *rc::gen::inRange(0, 12);
    for (int step = 0; step < count; ++step) {
        InstanceRecord record = generateRecord();
        // Only the instance itself raises its version, so that equal precedence means equal records. New instances are never added as dead
        // or left.
        record.failureDomain_ = "r0-a";
        record.address_ = Address{9, static_cast<std::uint16_t>(record.version_)};
        record.service_ = ServiceName("booking");
        record.health_ = record.health_ == Health::Dead || record.health_ == Health::Left ? Health::Suspect : record.health_;
        records.push_back(record);
    }
    FakeFleet first(1, 1);
    FakeFleet second(1, 1);
    for (const InstanceRecord &record : records) {
        mergeRecord(first.world(0), record);
    }
    std::reverse(records.begin(), records.end());
    for (const InstanceRecord &record : records) {
        mergeRecord(second.world(0), record);
    }
    RC_ASSERT(first.world(0).fleet_.tableHash_ == second.world(0).fleet_.tableHash_);
}

// Every strategy returns a candidate, and the daemon's default never selects a full one while its sample has a free one.
RC_BOOST_PROP(strategies_choose_among_the_candidates, ())
{
    std::vector<Candidate> candidates;
    const int count = *rc::gen::inRange(1, 5);
    for (int index = 0; index < count; ++index) {
        Candidate candidate;
        candidate.slots_ = Slots(4);
        candidate.report_ = LoadReport{Slots(*rc::gen::inRange(0, 6)), Slots(0), Slots(4), Millis(*rc::gen::inRange(1, 50))};
        candidate.outstandingAttempts_ = candidate.report_.inFlight_.value();
        candidates.push_back(candidate);
    }
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::uint64_t counter = 0;
    SelectionContext context{random, counter};
    for (std::uint8_t kind = 0; kind < static_cast<std::uint8_t>(StrategyKind::Count); ++kind) {
        RC_ASSERT(selectionFunction(static_cast<StrategyKind>(kind))(context, candidates) < candidates.size());
    }
    // The sample contains all candidates when there are at most four.
    const std::size_t chosen = selectionFunction(StrategyKind::LoadThenLatency)(context, candidates);
    const auto isFull = [](const Candidate &candidate) { return candidate.report_.inFlight_.value() >= 4; };
    const bool anyFree = !std::all_of(candidates.begin(), candidates.end(), isFull);
    const bool fullTaken = anyFree && isFull(candidates[chosen]);
    RC_ASSERT(!fullTaken);
}

// Daemons without seeds discover each other through the store.
#define BOOST_TEST_MODULE directory
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 14;

// True when each running daemon believes all instances to be running.
bool allDaemonsKnowEachOther(FakeFleet &fleet)
{
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.instances_[index].world_ && fleet.world(index).fleet_.runningCount_ != fleet.size()) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(daemons_that_start_together_know_each_other_before_traffic)
{
    FakeFleet fleet(Instances, 11, routedSettings());
    fleet.store_.putRouting(routing(1));
    fleet.runFor(Millis(4000));
    BOOST_TEST(allDaemonsKnowEachOther(fleet));
    BOOST_TEST(fleet.store_.members_.size() == Instances);
    // Each daemon writes and reads the member list once; the routing watch reads once and then waits for a change.
    BOOST_TEST(fleet.store_.writeCount_ == Instances);
}

BOOST_AUTO_TEST_CASE(all_daemons_discover_each_other_after_the_whole_fleet_restarted)
{
    FakeFleet fleet(Instances, 12, routedSettings());
    startRoutedFleet(fleet);
    for (std::size_t index = 0; index < Instances; ++index) {
        fleet.kill(index);
    }
    fleet.runFor(Millis(1400));
    for (std::size_t index = 0; index < Instances; ++index) {
        fleet.start(index);
    }
    fleet.runFor(Millis(4000));
    BOOST_TEST(allDaemonsKnowEachOther(fleet));
    BOOST_TEST(allUseVersion(fleet, 1));
}

// Guards against daemons that do not find each other, after the loss of all, among the rows of those that are gone for good.
BOOST_AUTO_TEST_CASE(the_fleet_finds_itself_among_many_rows_of_daemons_that_are_gone)
{
    for (const std::uint32_t staleRows : {10U, 500U, 2000U, 10000U}) {
        FakeFleet fleet(Instances, 15, routedSettings());
        startRoutedFleet(fleet);
        for (std::uint32_t number = 0; number < staleRows; ++number) {
            const MemberRow row{InstanceName("a-gone-" + std::to_string(number)), Address{(127U << 24U) + 65536U + number, 7400}};
            fleet.store_.run(MemberPut{row});
        }
        for (std::size_t index = 0; index < Instances; ++index) {
            fleet.kill(index);
        }
        fleet.runFor(Millis(1400));
        const std::uint64_t readsBefore = fleet.store_.readCount_;
        for (std::size_t index = 0; index < Instances; ++index) {
            fleet.start(index);
        }
        fleet.runFor(Millis(4000));
        BOOST_TEST(allDaemonsKnowEachOther(fleet), staleRows);
        // One read for each 500 rows, one of the desired state and a few of its watch.
        BOOST_TEST(fleet.store_.readCount_ - readsBefore <= Instances * (staleRows / 499 + 1 + 8), staleRows);
    }
}

BOOST_AUTO_TEST_CASE(an_unavailable_store_at_the_start_only_delays_discovery)
{
    FakeFleet fleet(Instances, 13, routedSettings());
    fleet.store_.putRouting(routing(1));
    fleet.store_.down_ = true;
    fleet.runFor(Millis(5000));
    fleet.store_.down_ = false;
    fleet.runFor(Millis(5000));
    BOOST_TEST(allDaemonsKnowEachOther(fleet));
    BOOST_TEST(allUseVersion(fleet, 1));
}

BOOST_AUTO_TEST_CASE(a_daemon_restarted_after_its_clock_stepped_back_rejoins)
{
    FakeFleet fleet(Instances, 14, routedSettings());
    startRoutedFleet(fleet);
    // The incarnation of the new process is lower than that of the previous one, which other daemons still know.
    fleet.kill(3);
    fleet.runFor(Millis(500));
    fleet.clockOffset_ = Millis(-3000);
    fleet.start(3);
    fleet.clockOffset_ = Millis();
    fleet.runFor(Millis(1500));
    BOOST_TEST(allDaemonsKnowEachOther(fleet));
}

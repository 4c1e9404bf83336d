// Membership: joining, failure detection, and recovery from a network partition.
#define BOOST_TEST_MODULE membership
#include "fake/fake_fleet.h"
#include "fleet/instance_func.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// True when every running daemon believes exactly this number of instances to be running.
bool allDaemonsSee(FakeFleet &fleet, std::size_t running)
{
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (!fleet.instances_[index].world_) {
            continue;
        }
        std::size_t seen = 0;
        fleet.world(index).fleet_.rows_.forEach([&](InstanceId, const Instance &row) { seen += isRunning(row) ? 1 : 0; });
        if (seen != running) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(daemons_that_start_together_know_each_other_within_8_seconds)
{
    FakeFleet fleet(60, 61);
    fleet.runFor(Millis(8000));
    BOOST_TEST(allDaemonsSee(fleet, 60));
}

BOOST_AUTO_TEST_CASE(a_restarted_daemon_receives_the_complete_table_within_1_second)
{
    FakeFleet fleet(60, 62);
    fleet.runFor(Millis(60000));
    fleet.kill(50);
    fleet.start(50);
    fleet.runFor(Millis(1000));
    BOOST_TEST(fleet.world(50).fleet_.rows_.size() == 60U);
}

BOOST_AUTO_TEST_CASE(a_killed_daemon_is_detected_and_a_paused_one_rejoins)
{
    FakeFleet fleet(12, 63);
    fleet.datagramFaultPermille_ = 20;
    fleet.runFor(Millis(10000));
    fleet.kill(5);
    fleet.runFor(Millis(30000));
    BOOST_TEST(allDaemonsSee(fleet, 11));
    fleet.pause(7);
    fleet.runFor(Millis(15000));
    fleet.resume(7);
    fleet.runFor(Millis(30000));
    BOOST_TEST(allDaemonsSee(fleet, 11));
}

BOOST_AUTO_TEST_CASE(regions_rejoin_after_a_partition_of_3_minutes)
{
    FakeFleet fleet(12, 64);
    fleet.runFor(Millis(10000));
    const auto partitionRegions = [&](bool isPartitioned) {
        for (std::size_t first = 0; first < 12; ++first) {
            for (std::size_t second = first + 1; second < 12; ++second) {
                const bool crosses = (first % 6 < 2) != (second % 6 < 2);
                if (crosses) {
                    fleet.setPartitioned(first, second, isPartitioned);
                }
            }
        }
    };
    partitionRegions(true);
    fleet.runFor(Millis(180000));
    BOOST_TEST(!allDaemonsSee(fleet, 12));
    partitionRegions(false);
    fleet.runFor(Millis(60000));
    BOOST_TEST(allDaemonsSee(fleet, 12));
}

// Membership: joining, failure, healing after a cut.
#define BOOST_TEST_MODULE membership
#include "fake/fake_fleet.h"
#include "fleet/instance_func.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests speak of nothing else

namespace {

// True when every running daemon holds exactly these many instances for running.
bool allSee(FakeFleet &fleet, std::size_t running)
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

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_at_once_knows_itself_within_seconds)
{
    FakeFleet fleet(60, 61);
    fleet.runFor(Millis(8000));
    BOOST_TEST(allSee(fleet, 60));
}

BOOST_AUTO_TEST_CASE(a_fresh_daemon_learns_the_whole_table_at_once)
{
    FakeFleet fleet(60, 62);
    fleet.runFor(Millis(60000));
    fleet.kill(50);
    fleet.start(50);
    fleet.runFor(Millis(1000));
    BOOST_TEST(fleet.world(50).fleet_.rows_.size() == 60U);
}

BOOST_AUTO_TEST_CASE(a_dead_daemon_is_found_and_a_frozen_one_comes_back)
{
    FakeFleet fleet(12, 63);
    fleet.datagramLoss_ = 20;
    fleet.runFor(Millis(10000));
    fleet.kill(5);
    fleet.runFor(Millis(30000));
    BOOST_TEST(allSee(fleet, 11));
    fleet.pause(7);
    fleet.runFor(Millis(15000));
    fleet.resume(7);
    fleet.runFor(Millis(30000));
    BOOST_TEST(allSee(fleet, 11));
}

BOOST_AUTO_TEST_CASE(regions_find_each_other_after_a_cut_of_minutes)
{
    FakeFleet fleet(12, 64);
    fleet.runFor(Millis(10000));
    const auto setCut = [&](bool isCut) {
        for (std::size_t first = 0; first < 12; ++first) {
            for (std::size_t second = first + 1; second < 12; ++second) {
                const bool crosses = (first % 6 < 2) != (second % 6 < 2);
                if (crosses) {
                    fleet.cut(first, second, isCut);
                }
            }
        }
    };
    setCut(true);
    fleet.runFor(Millis(180000));
    BOOST_TEST(!allSee(fleet, 12));
    setCut(false);
    fleet.runFor(Millis(60000));
    BOOST_TEST(allSee(fleet, 12));
}

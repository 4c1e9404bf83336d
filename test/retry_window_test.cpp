// The retry limit of the whole fleet holds in every sliding window although each daemon enforces only its own part.
#define BOOST_TEST_MODULE retry_window
#include "fake/routed_fleet.h"
#include "measure/retry_window_func.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t DaemonCount = 16;
const ServiceName Service("booking");

} // namespace

RC_BOOST_PROP(retries_stay_within_the_share_and_the_fixed_allowance, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto callsPerStep = *rc::gen::inRange(0, 4);
    const auto retriesPerStep = *rc::gen::inRange(1, 6);
    FakeFleet fleet(DaemonCount, seed, routedSettings());
    startRoutedFleet(fleet);
    Random random(seed);
    std::vector<Millis> calls;
    std::vector<Millis> retries;
    constexpr int Steps = 600;
    for (int step = 0; step < Steps; ++step) {
        fleet.runFor(Millis(50));
        for (int call = 0; call < callsPerStep; ++call) {
            recordCallForRetryWindow(fleet.world(random.uniformBelow(DaemonCount)), Service);
            calls.push_back(fleet.now());
        }
        for (int retry = 0; retry < retriesPerStep; ++retry) {
            if (tryTakeRetry(fleet.world(random.uniformBelow(DaemonCount)), Service)) {
                retries.push_back(fleet.now());
            }
        }
    }
    const WorldSettings settings = routedSettings();
    for (const Millis end : retries) {
        const auto within = [&](Millis time) { return time > end - settings.retryWindow_ && time <= end; };
        const auto called = std::count_if(calls.begin(), calls.end(), within);
        const auto retried = std::count_if(retries.begin(), retries.end(), within);
        // 0.2 is the retryWindowShare_ of 20 percent in routedSettings().
        RC_ASSERT(static_cast<double>(retried) <= 0.2 * static_cast<double>(called) + settings.retryWindowAllowance_);
    }
}

BOOST_AUTO_TEST_CASE(offers_refused_by_draining_servers_use_no_retry_budget)
{
    FakeFleet fleet(DaemonCount, 3, routedSettings());
    startRoutedFleet(fleet);
    for (std::size_t index = 1; index < DaemonCount; ++index) {
        // All servers but one are draining and accept no requests.
        fleet.instances_[index].announcedState_ = BackendState::Draining;
    }
    fleet.runFor(Millis(1000));
    for (int number = 0; number < 60; ++number) {
        // A call that is not idempotent, through daemon 5.
        fleet.call(5, routedCall("call" + std::to_string(number), false));
        fleet.runFor(Millis(20));
    }
    fleet.runFor(Millis(2000));
    BOOST_TEST(fleet.world(5).retryWindows_.rows_[Service].retries_.empty());
}

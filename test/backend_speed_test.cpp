// Start of work by the speed of a backend server: slow periods, order, servers without load reports, hung requests, crashes and lost responses.
#define BOOST_TEST_MODULE backend_speed
#include "call/backend_speed_func.h"
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr int NormalPercent = 100;
constexpr int SlowPercent = 500;

// One daemon with its backend server, whose slowness the test sets.
struct SpeedFixture {
    FakeFleet fleet_{1, 71, routedSettings()};
    int slowness_ = NormalPercent;

    SpeedFixture()
    {
        fleet_.instances_[0].slots_ = 12;
        fleet_.instances_[0].serviceTime_ = Millis(50);
        fleet_.slowness_ = [this](std::size_t /*index*/) { return slowness_; };
        startRoutedFleet(fleet_);
        // The first response sets the server's baseline.
        call("first");
        fleet_.runFor(Millis(200));
    }

    std::size_t call(const std::string &token, bool idempotent = true)
    {
        return fleet_.call(0, routedCall(token, idempotent));
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(work_does_not_start_while_the_server_is_slow)
{
    SpeedFixture fixture;
    fixture.slowness_ = SlowPercent;
    const std::size_t number = fixture.call("waits");
    fixture.fleet_.runFor(Millis(100));
    BOOST_TEST(fixture.fleet_.executions("waits") == 0);
    fixture.slowness_ = NormalPercent;
    fixture.fleet_.runFor(Millis(100));
    BOOST_TEST(fixture.fleet_.results_[number].responseToken_.has_value());
}

// Guards against a daemon that counts as unreachable because its backend server is slow to respond to a health check.
BOOST_AUTO_TEST_CASE(requests_survive_a_health_check_without_a_response)
{
    for (const bool isFirstCheck : {false, true}) {
        for (const bool isBodyInline : {false, true}) {
            SpeedFixture fixture;
            FakeFleet &fleet = fixture.fleet_;
            fleet.ignoresChecks_ = [](std::size_t /*index*/) { return true; };
            if (isFirstCheck) {
                fleet.kill(0);
                fleet.start(0);
                fleet.runFor(Millis(4000));
            }
            FakeCall held = routedCall("held", false);
            held.canInlineBody_ = isBodyInline;
            const std::size_t number = fleet.call(0, held);
            // The check is given up after 500 ms.
            fleet.runFor(Millis(700));
            BOOST_TEST(fleet.results_[number].responseToken_.has_value(), isFirstCheck << isBodyInline);
            BOOST_TEST(fleet.executions("held") == 1, isFirstCheck << isBodyInline);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_baseline_adapts_to_a_server_that_stays_slow)
{
    SpeedFixture fixture;
    fixture.slowness_ = SlowPercent;
    int served = 0;
    for (int number = 0; number < 60; ++number) {
        const std::size_t call = fixture.call("call" + std::to_string(number));
        fixture.fleet_.runFor(Millis(500));
        served += fixture.fleet_.results_[call].responseToken_ ? 1 : 0;
    }
    BOOST_TEST(served > 20);
}

BOOST_AUTO_TEST_CASE(a_server_without_load_reports_is_not_checked_again)
{
    FakeFleet fleet(1, 72, routedSettings());
    startRoutedFleet(fleet);
    for (int number = 0; number < 50; ++number) {
        fleet.call(0, routedCall("call" + std::to_string(number), true));
        fleet.runFor(Millis(30));
    }
    BOOST_TEST(fleet.healthChecks_ <= 2U);
    for (const CallResult &result : fleet.results_) {
        BOOST_TEST(result.responseToken_.has_value());
    }
}

BOOST_AUTO_TEST_CASE(high_priority_calls_run_before_others)
{
    SpeedFixture fixture;
    fixture.slowness_ = SlowPercent;
    std::vector<std::size_t> reads;
    for (int number = 0; number < 6; ++number) {
        reads.push_back(fixture.call("read" + std::to_string(number)));
    }
    const std::size_t write = fixture.call("write", false);
    fixture.fleet_.instances_[0].slots_ = 1;
    fixture.fleet_.runFor(Millis(30));
    fixture.slowness_ = NormalPercent;
    fixture.fleet_.runFor(Millis(120));
    BOOST_TEST(fixture.fleet_.executions("write") == 1);
    BOOST_TEST((fixture.fleet_.results_[write].endedAt_ <= fixture.fleet_.results_[reads.back()].endedAt_));
}

BOOST_AUTO_TEST_CASE(a_hung_request_gives_its_slot_back_at_its_deadline)
{
    SpeedFixture fixture;
    fixture.fleet_.instances_[0].serviceTime_ = Millis(60000);
    for (int number = 0; number < 5; ++number) {
        fixture.call("hangs" + std::to_string(number));
    }
    fixture.fleet_.runFor(Millis(1500));
    BOOST_TEST(fixture.fleet_.world(0).admissions_.inFlight_.value() == 0);
    for (std::size_t number = 1; number < 6; ++number) {
        BOOST_TEST((fixture.fleet_.results_[number].failure_ == ResultCode::DeadlineUnknown));
    }
}

// A response that is lost while the server is still running must not quarantine requests with the same fingerprint.
BOOST_AUTO_TEST_CASE(a_lost_response_is_distinguished_from_a_crash)
{
    SpeedFixture fixture;
    for (int number = 0; number < 6; ++number) {
        FakeCall call = routedCall("same" + std::to_string(number), true);
        call.fingerprint_ = 4711;
        fixture.fleet_.call(0, call);
        fixture.fleet_.runFor(Millis(20));
        const auto &rows = fixture.fleet_.world(0).admissions_.byExchange_;
        BOOST_REQUIRE(!rows.empty());
        fixture.fleet_.post(0, BackendFailed{rows.begin()->first, BackendFault::ConnectionClosed, {}});
        fixture.fleet_.runFor(Millis(300));
    }
    BOOST_TEST(fixture.fleet_.world(0).suspects_.rows_.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_quarantined)
{
    FakeFleet fleet(6, 73, routedSettings());
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = 12;
    }
    fleet.slowness_ = [](std::size_t /*index*/) { return NormalPercent; };
    startRoutedFleet(fleet);
    for (int number = 0; number < 20; ++number) {
        FakeCall call = routedCall("killer" + std::to_string(number), true);
        call.action_ = "killer";
        call.crashesBackend_ = true;
        fleet.call(static_cast<std::size_t>(number) % fleet.size(), call);
        fleet.runFor(Millis(700));
    }
    BOOST_TEST(fleet.backendCrashes_ <= 6);
}

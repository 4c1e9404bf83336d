// When work starts at a backend server: phases, order, a full queue, hidden speeds, hung requests, crashes and lost answers.
#define BOOST_TEST_MODULE gate
#include "call/gate_func.h"
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests speak of nothing else

namespace {

constexpr int Usual = 100;
constexpr int Slow = 500;

// One daemon and its server, whose speed the test sets.
struct Bench {
    FakeFleet fleet_{1, 71, routedSettings()};
    int slowness_ = Usual;

    Bench()
    {
        fleet_.instances_[0].slots_ = 12;
        fleet_.instances_[0].work_ = Millis(50);
        fleet_.slowness_ = [this](std::size_t /*index*/) { return slowness_; };
        joinRouted(fleet_);
        // The server's usual speed becomes known.
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
    Bench bench;
    bench.slowness_ = Slow;
    const std::size_t number = bench.call("waits");
    bench.fleet_.runFor(Millis(100));
    BOOST_TEST(bench.fleet_.executions("waits") == 0);
    bench.slowness_ = Usual;
    bench.fleet_.runFor(Millis(100));
    BOOST_TEST(bench.fleet_.results_[number].answer_.has_value());
}

BOOST_AUTO_TEST_CASE(a_server_that_stays_slow_becomes_usual)
{
    Bench bench;
    bench.slowness_ = Slow;
    int served = 0;
    for (int number = 0; number < 60; ++number) {
        const std::size_t call = bench.call("call" + std::to_string(number));
        bench.fleet_.runFor(Millis(500));
        served += bench.fleet_.results_[call].answer_ ? 1 : 0;
    }
    BOOST_TEST(served > 20);
}

BOOST_AUTO_TEST_CASE(a_server_that_tells_no_speed_is_not_asked_again)
{
    FakeFleet fleet(1, 72, routedSettings());
    joinRouted(fleet);
    for (int number = 0; number < 50; ++number) {
        fleet.call(0, routedCall("call" + std::to_string(number), true));
        fleet.runFor(Millis(30));
    }
    BOOST_TEST(fleet.checks_ <= 2U);
    for (const CallResult &result : fleet.results_) {
        BOOST_TEST(result.answer_.has_value());
    }
}

BOOST_AUTO_TEST_CASE(urgent_calls_run_before_others)
{
    Bench bench;
    bench.slowness_ = Slow;
    std::vector<std::size_t> reads;
    for (int number = 0; number < 6; ++number) {
        reads.push_back(bench.call("read" + std::to_string(number)));
    }
    const std::size_t write = bench.call("write", false);
    bench.fleet_.instances_[0].slots_ = 1;
    bench.fleet_.runFor(Millis(30));
    bench.slowness_ = Usual;
    bench.fleet_.runFor(Millis(120));
    BOOST_TEST(bench.fleet_.executions("write") == 1);
    BOOST_TEST((bench.fleet_.results_[write].endedAt_ <= bench.fleet_.results_[reads.back()].endedAt_));
}

BOOST_AUTO_TEST_CASE(a_hung_request_gives_its_slot_back_at_its_deadline)
{
    Bench bench;
    bench.fleet_.instances_[0].work_ = Millis(60000);
    for (int number = 0; number < 5; ++number) {
        bench.call("hangs" + std::to_string(number));
    }
    bench.fleet_.runFor(Millis(1500));
    BOOST_TEST(bench.fleet_.world(0).admissions_.inFlight_.value() == 0);
    for (std::size_t number = 1; number < 6; ++number) {
        BOOST_TEST((bench.fleet_.results_[number].failure_ == ResultCode::DeadlineUnknown));
    }
}

// Answers that are lost while the server lives must not bring requests of the same shape into quarantine.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_told_from_a_crash)
{
    Bench bench;
    for (int number = 0; number < 6; ++number) {
        FakeCall call = routedCall("same" + std::to_string(number), true);
        call.fingerprint_ = 4711;
        bench.fleet_.call(0, call);
        bench.fleet_.runFor(Millis(20));
        const auto &rows = bench.fleet_.world(0).admissions_.byExchange_;
        BOOST_REQUIRE(!rows.empty());
        bench.fleet_.post(0, BackendFailed{rows.begin()->first, BackendFault::Broken, {}});
        bench.fleet_.runFor(Millis(300));
    }
    BOOST_TEST(bench.fleet_.world(0).suspects_.rows_.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_stopped)
{
    FakeFleet fleet(6, 73, routedSettings());
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = 12;
    }
    fleet.slowness_ = [](std::size_t /*index*/) { return Usual; };
    joinRouted(fleet);
    for (int number = 0; number < 20; ++number) {
        FakeCall call = routedCall("killer" + std::to_string(number), true);
        call.action_ = "killer";
        call.kills_ = true;
        fleet.call(static_cast<std::size_t>(number) % fleet.size(), call);
        fleet.runFor(Millis(700));
    }
    BOOST_TEST(fleet.killed_ <= 6);
}

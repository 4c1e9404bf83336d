// Rejection of calls that cannot finish in time, and retry delays of refused callers.
#define BOOST_TEST_MODULE load_shedding
#include "call/load_shedding_func.h"
#include "fake/load_pattern.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// A fleet of one server with one slot whose work always takes 200 ms.
struct SingleSlotFixture {
    FakeFleet fleet_{1, 61, routedSettings()};

    SingleSlotFixture()
    {
        fleet_.instances_[0].slots_ = 1;
        fleet_.instances_[0].serviceTime_ = Millis(200);
        startRoutedFleet(fleet_);
        for (int number = 0; number < 5; ++number) {
            run("warm" + std::to_string(number), Millis(1200));
        }
    }

    CallResult &run(const std::string &token, Millis timeout)
    {
        const std::size_t call = start(token, timeout);
        fleet_.runFor(Millis(1300));
        return fleet_.results_[call];
    }

    std::size_t start(const std::string &token, Millis timeout)
    {
        FakeCall call = routedCall(token, true);
        call.timeout_ = timeout;
        return fleet_.call(0, call);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(work_that_cannot_finish_in_time_takes_no_slot)
{
    SingleSlotFixture fixture;
    const CallResult &result = fixture.run("short", Millis(60));
    BOOST_TEST((result.failure_ == ResultCode::DeadlineNotRun));
    BOOST_TEST(fixture.fleet_.executions("short") == 0);
    // The caller is notified at once, not at its deadline.
    BOOST_TEST((result.endedAt_ - result.startedAt_ < Millis(30)));
}

BOOST_AUTO_TEST_CASE(a_queued_call_is_rejected_as_soon_as_its_time_is_too_short)
{
    SingleSlotFixture fixture;
    fixture.start("first", Millis(1200));
    fixture.fleet_.runFor(Millis(5));
    const std::size_t second = fixture.start("second", Millis(250));
    fixture.fleet_.runFor(Millis(400));
    const CallResult &result = fixture.fleet_.results_[second];
    BOOST_TEST(result.failure_.has_value());
    BOOST_TEST(fixture.fleet_.executions("second") == 0);
    BOOST_TEST((result.endedAt_ - result.startedAt_ < Millis(220)));
}

// Guards against an offer made in the last milliseconds of a call, which then fails without a promise that it did not run.
BOOST_AUTO_TEST_CASE(a_call_that_never_got_a_slot_is_reported_as_not_run)
{
    FakeFleet fleet(1, 62, routedSettings());
    fleet.instances_[0].slots_ = 1;
    startRoutedFleet(fleet);
    fleet.call(0, routedCall("warm", true));
    fleet.runFor(Millis(100));
    fleet.instances_[0].serviceTime_ = Millis(60000);
    FakeCall blocking = routedCall("blocking", true);
    blocking.policy_.timeout_ = Millis(10000);
    fleet.call(0, blocking);
    fleet.runFor(Millis(20));
    for (int number = 0; number < 400; ++number) {
        fleet.call(0, routedCall("call" + std::to_string(number), true));
        fleet.runFor(Millis(7));
    }
    fleet.runFor(Millis(1300));
    for (std::size_t index = 2; index < fleet.results_.size(); ++index) {
        const CallResult &result = fleet.results_[index];
        BOOST_REQUIRE(result.failure_.has_value());
        BOOST_TEST(provesNotRun(*result.failure_), "call " << index << " after " << (result.endedAt_ - result.startedAt_).count() << " ms");
    }
}

BOOST_AUTO_TEST_CASE(retry_delays_are_spread_and_at_most_a_third_of_the_time_left)
{
    SingleSlotFixture fixture;
    World &world = fixture.fleet_.world(0);
    Call call;
    call.class_ = ClassName("read");
    call.deadline_ = world.now_ + Millis(900);
    std::set<std::int64_t> waits;
    for (int draw = 0; draw < 50; ++draw) {
        const Millis wait = retryAfter(world, call, ResultCode::Overloaded);
        BOOST_TEST((wait > Millis() && wait <= Millis(300)));
        waits.insert(wait.micros());
    }
    BOOST_TEST(waits.size() > 40U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_cannot_succeed_gets_no_retry_delay)
{
    SingleSlotFixture fixture;
    World &world = fixture.fleet_.world(0);
    Call call;
    call.class_ = ClassName("read");
    call.deadline_ = world.now_ + Millis(80);
    BOOST_TEST((retryAfter(world, call, ResultCode::Overloaded) == Millis()));
    call.deadline_ = world.now_ + Millis(900);
    BOOST_TEST((retryAfter(world, call, ResultCode::Quarantined) == Millis()));
}

// Load pattern: five seconds at twice the servers' capacity. Slots must go to work that can still finish in time.
BOOST_AUTO_TEST_CASE(overload_wastes_no_slots_on_work_that_finishes_too_late)
{
    FakeFleet fleet(12, 62, routedSettings());
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = 12;
        instance.serviceTime_ = Millis(300);
    }
    startRoutedFleet(fleet);
    const LoadOutcome outcome = replayLoad(fleet, {{960, Millis(5000)}}, 63);
    BOOST_TEST_MESSAGE("calls " << outcome.calls_ << ", on time " << outcome.onTime_ << ", late " << outcome.late_ << ", unserved " << outcome.unanswered_);
    std::uint64_t handedOver = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        handedOver += fleet.world(index).counters_.get(Counter::HandedOver);
    }
    const auto served = static_cast<std::uint64_t>(outcome.onTime_) + static_cast<std::uint64_t>(outcome.late_);
    // At most 1 of 20 started requests may fail at its deadline.
    BOOST_TEST(served * 20 >= handedOver * 19);
}

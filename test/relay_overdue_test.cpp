// Responses that arrive whole, but whose relay starts or ends late because the daemon itself was held up.
#define BOOST_TEST_MODULE relay_overdue
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Time limit of the calls.
constexpr Millis TimeLimit{1200};

// A daemon with a call whose backend server does not respond by itself; the test posts the events of the response.
struct RunningCall {
    explicit RunningCall(std::uint64_t seed, Millis maxShutdownTime = Millis::never())
        : fleet_(2, seed, settingsWith(maxShutdownTime))
    {
        startRoutedFleet(fleet_);
        fleet_.hangs_ = [](std::size_t /*instance*/) { return true; };
        startedAt_ = fleet_.now();
        fleet_.call(0, routedCall("call", false));
        fleet_.runFor(Millis(100));
        fleet_.world(0).calls_.attempts_.forEach([&](AttemptId id, const Attempt & /*attempt*/) { attempt_ = id; });
        fleet_.effectObserver_ = [&](std::size_t /*daemon*/, const Effect &effect) {
            const auto *abort = std::get_if<AbortCall>(&effect);
            const bool isOverdue
                = abort != nullptr && (abort->reason_ == UnansweredReason::RelayOverdue || abort->reason_ == UnansweredReason::ShutdownOverdue);
            aborts_ += isOverdue ? 1 : 0;
        };
    }

    // Settings of a routed fleet whose shutdowns are limited.
    static WorldSettings settingsWith(Millis maxShutdownTime)
    {
        WorldSettings settings = routedSettings();
        settings.maxShutdownTime_ = maxShutdownTime;
        return settings;
    }

    // Holds the daemon up until a time after the start of the call.
    void holdUpUntil(Millis time)
    {
        fleet_.pause(0);
        fleet_.runUntil(startedAt_ + time);
    }

    FakeFleet fleet_;
    AttemptId attempt_;
    Millis startedAt_;
    // Calls whose callers' connections were closed without a response because of the time limit or the latest exit.
    int aborts_ = 0;
};

} // namespace

// Guards against a response that is given up in the very tick that learns of it.
BOOST_AUTO_TEST_CASE(a_response_that_is_noticed_after_the_time_limit_is_not_given_up_at_once)
{
    RunningCall call(91);
    BOOST_REQUIRE(call.attempt_.isValid());
    call.holdUpUntil(TimeLimit + Millis(150));
    call.fleet_.post(0, ResponseStarted{call.attempt_});
    call.fleet_.resume(0);
    BOOST_TEST(call.aborts_ == 0);
}

// Guards against a response that is given up between the start of its relay and the next step of the same daemon.
BOOST_AUTO_TEST_CASE(a_response_whose_relay_is_held_up_by_the_daemon_is_not_given_up_at_once)
{
    RunningCall call(92);
    BOOST_REQUIRE(call.attempt_.isValid());
    call.fleet_.runUntil(call.startedAt_ + TimeLimit - Millis(10));
    call.fleet_.post(0, ResponseStarted{call.attempt_});
    call.fleet_.runFor(Millis(1));
    call.holdUpUntil(TimeLimit + Millis(150));
    call.fleet_.resume(0);
    BOOST_TEST(call.aborts_ == 0);
}

// Guards against a whole response that is given up because its caller reads slowly at the time limit.
BOOST_AUTO_TEST_CASE(a_whole_response_is_written_beyond_the_time_limit)
{
    RunningCall call(93);
    BOOST_REQUIRE(call.attempt_.isValid());
    call.fleet_.post(0, ResponseStarted{call.attempt_, true});
    call.fleet_.runUntil(call.startedAt_ + TimeLimit + Millis(2000));
    BOOST_TEST(call.aborts_ == 0);
}

// Guards against a whole response that is given up because it arrives when the shutdown's time is over.
BOOST_AUTO_TEST_CASE(a_whole_response_is_written_at_the_latest_exit)
{
    constexpr Millis MaxShutdownTime{1000};
    for (const bool isWhole : {true, false}) {
        RunningCall call(94, MaxShutdownTime);
        BOOST_REQUIRE(call.attempt_.isValid());
        call.fleet_.post(0, ShutdownRequested{});
        const Millis interruption = call.fleet_.now() + MaxShutdownTime - Millis(100);
        call.fleet_.runUntil(interruption - Millis(1));
        call.fleet_.post(0, ResponseStarted{call.attempt_, isWhole});
        call.fleet_.runUntil(interruption + Millis(50));
        BOOST_TEST(call.fleet_.world(0).hasExited_);
        BOOST_TEST(call.aborts_ == (isWhole ? 0 : 1), isWhole);
    }
}

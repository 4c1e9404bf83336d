// Requests on kept connections that arrive at the moment of the idle time-out.
#define BOOST_TEST_MODULE platform_kept_idle
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <deque>
#include <thread>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// idleTimeoutS of the fixture's desired state.
constexpr Millis IdleTimeout{5000};
// Callers that send from 20 ms before to 20 ms after the time-out.
constexpr int CallerCount = 80;
constexpr std::int64_t StepMicros = 500;
// How long the daemon is busy at a time, so that a request and the time-out become due in one turn of its loop.
constexpr std::chrono::milliseconds BusyTime(3);

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_crosses_the_idle_time_out_is_passed_on_and_closed)
{
    DaemonFixture fixture;
    std::deque<KeptCaller> callers;
    std::vector<Millis> sendAt;
    for (int number = 0; number < CallerCount; ++number) {
        callers.emplace_back(fixture);
        sendAt.push_back(WorldRunner::now() + IdleTimeout + Millis::fromMicros((number - CallerCount / 2) * StepMicros));
    }
    const auto step = [&]() {
        bool areAllDone = true;
        bool hasSent = false;
        for (std::size_t index = 0; index < callers.size(); ++index) {
            if (sendAt[index] <= WorldRunner::now()) {
                callers[index].send(plainRequest("GET", "/r/1", "a" + std::to_string(index)));
                sendAt[index] = Millis::never();
                hasSent = true;
            }
            callers[index].pump();
            areAllDone = areAllDone && (callers[index].hasEnded() || callers[index].responses().size() == 2);
        }
        std::this_thread::sleep_for(hasSent ? BusyTime : std::chrono::milliseconds());
        return areAllDone;
    };
    fixture.runUntil(step, IdleTimeout + IdleTimeout);
    fixture.runFor(Millis(20));
    std::size_t answered = 0;
    const LostRule rule(LostRuleBounds{}, {});
    for (std::size_t index = 0; index < callers.size(); ++index) {
        const ObservedRequest request = callers[index].observe("a" + std::to_string(index));
        answered += request.end_ == RequestEnd::Answered ? 1 : 0;
        BOOST_TEST(!rule.isLostOnKeptConnection(request), request.id_);
    }
    // Both orders have occurred.
    BOOST_TEST(answered > 0U);
    BOOST_TEST(answered < callers.size());
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_ends_is_read_once_more)
{
    DaemonFixture fixture;
    {
        KeptCaller caller(fixture);
        BOOST_REQUIRE(caller.wasAnswered());
        caller.close();
        fixture.runFor(Millis(100));
    }
    BOOST_TEST(unansweredText(fixture) == "");
}

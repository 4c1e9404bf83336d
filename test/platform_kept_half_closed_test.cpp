// Callers that close only the sending side of a kept connection after their request, and read on.
#define BOOST_TEST_MODULE platform_kept_half_closed
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

BOOST_AUTO_TEST_CASE(a_caller_that_closes_only_its_sending_side_gets_no_answer)
{
    for (const std::string target : {"/r/1", "/w/1"}) {
        for (const bool isAfterStart : {false, true}) {
            DaemonFixture fixture;
            KeptCaller caller(fixture);
            fixture.scriptedResponses_.push_back({.lateBytes_ = DaemonFixture::matchingResponse("late"), .lateDelay_ = Millis(200)});
            caller.send(plainRequest(target == "/r/1" ? "GET" : "POST", target, "a1"));
            if (isAfterStart) {
                BOOST_REQUIRE(caller.awaitPassedOn("a1"));
            }
            caller.closeSending();
            BOOST_TEST(caller.awaitStatus() == 200U, target << " after start " << isAfterStart);
        }
    }
}

// Guards against requests that are left unread because the end of the input behind them was taken for the end of the caller.
BOOST_AUTO_TEST_CASE(all_requests_before_the_end_of_the_input_are_answered)
{
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    fixture.scriptedResponses_.push_back({.lateBytes_ = DaemonFixture::matchingResponse("late"), .lateDelay_ = Millis(200)});
    caller.send(plainRequest("GET", "/r/1", "a1") + plainRequest("POST", "/w/1", "a2"));
    caller.closeSending();
    BOOST_TEST(caller.awaitStatus(2) == 200U);
    BOOST_TEST(caller.awaitStatus(3) == 200U);
    BOOST_TEST(caller.runUntil([&]() { return caller.hasEnded(); }, Millis(500)));
    BOOST_TEST(!caller.wasReset());
}

// Guards against work for a caller that closes its sending side first and leaves later.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_after_it_has_closed_its_sending_side_is_noticed)
{
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    fixture.scriptedResponses_.push_back({});
    caller.send(plainRequest("GET", "/r/1", "a1"));
    BOOST_REQUIRE(caller.awaitPassedOn("a1"));
    caller.closeSending();
    caller.runFor(Millis(100));
    BOOST_TEST(!fixture.receivedRequests_.back().cancelled_);
    caller.close();
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_.back().cancelled_; }, Millis(250)));
    BOOST_TEST(unansweredCount(fixture) == 1U);
}

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

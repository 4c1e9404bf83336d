// Kept connections that lose a single segment while their request is served.
#define BOOST_TEST_MODULE platform_kept_probe
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

BOOST_AUTO_TEST_CASE(one_lost_segment_ends_a_connection_whose_server_is_at_work)
{
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    fixture.scriptedResponses_.push_back({.lateBytes_ = DaemonFixture::matchingResponse("late"), .lateDelay_ = Millis(2600)});
    caller.send(uploadHead(BodyFraming::Length, "a1", Millis(3000), 10) + std::string(10, 'b'));
    BOOST_REQUIRE(caller.awaitPassedOn("a1"));
    caller.runFor(Millis(700));
    // The first keep-alive probe comes a second after the request.
    caller.loseArriving(true);
    caller.runFor(Millis(800));
    caller.loseArriving(false);
    BOOST_TEST(caller.awaitStatus() == 200U);
    BOOST_TEST(unansweredText(fixture) == "");
}

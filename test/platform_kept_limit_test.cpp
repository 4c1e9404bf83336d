// Long responses on kept connections that are on their way when the time of their route is over.
#define BOOST_TEST_MODULE platform_kept_limit
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

BOOST_AUTO_TEST_CASE(a_long_response_is_cut_when_the_time_of_its_route_is_over)
{
    // The caller allows more time than the route, and reads about 5 MB a second from 0.9 s on; the server's response is whole by then.
    constexpr std::size_t Size = 8000000;
    DaemonFixture fixture;
    KeptCaller caller(fixture, 16384);
    fixture.scriptedResponses_.push_back({.lateBytes_ = longResponse(Size), .lateDelay_ = Millis(900)});
    caller.send(plainRequest("GET", "/r/1", "a1", Millis(5000)));
    caller.limitReads(10000);
    BOOST_TEST(caller.awaitStatus(2, Millis(8000)) == 200U);
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(a_response_that_flows_is_cut_when_the_time_of_its_route_is_over)
{
    // The server sends the second half 0.4 s after the first one; the route allows 1.2 s.
    constexpr std::size_t Half = 200000;
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    const std::string bytes = longResponse(2 * Half);
    fixture.scriptedResponses_.push_back(
        {.bytes_ = bytes.substr(0, bytes.size() - Half), .lateBytes_ = std::string(Half, 'v'), .lateDelay_ = Millis(400), .earlyDelay_ = Millis(1000)});
    caller.send(plainRequest("GET", "/r/1", "a1", Millis(5000)));
    BOOST_TEST(caller.awaitStatus() == 200U);
    BOOST_TEST(unansweredText(fixture) == "");
}

// Kept connections that are idle for longer than the limit, over real sockets.
#define BOOST_TEST_MODULE platform_idle
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace radishford; // NOLINT: tests use only this namespace

BOOST_AUTO_TEST_CASE(an_idle_connection_that_is_closed_is_not_taken_for_a_request)
{
    DaemonFixture fixture;
    Peer caller(fixture);
    caller.write("GET /r/first HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: first\r\nDeadline-Ms: 1200\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&]() { return caller.responses().size() == 1; }));
    // The limit is 5 s.
    BOOST_TEST(fixture.runUntil([&]() { return caller.received().ended_; }, Millis(6000)));
    fixture.runFor(Millis(100));
    const auto &counts = fixture.daemon().worldRunner().world().counters_.unanswered_;
    BOOST_TEST(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}) == 0U);
}

// Connections of callers that end without a complete response, over real sockets: what is counted, and what must not end so.
#define BOOST_TEST_MODULE platform_unanswered
#include "standin/kept_connection.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Number of requests that were counted as unanswered for a reason.
std::uint64_t unanswered(DaemonFixture &fixture, UnansweredReason reason)
{
    return fixture.daemon().worldRunner().world().counters_.get(reason);
}

// Number of requests that were counted as unanswered.
std::uint64_t unanswered(DaemonFixture &fixture)
{
    const auto &counts = fixture.daemon().worldRunner().world().counters_.unanswered_;
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

} // namespace

BOOST_AUTO_TEST_CASE(a_caller_that_closes_or_resets_before_its_response_is_counted)
{
    for (const bool isReset : {false, true}) {
        DaemonFixture fixture;
        KeptConnection caller(fixture);
        fixture.scriptedResponses_.push_back({});
        caller.write(requestHead("POST", "/w/1", "a1", 1200, 0));
        BOOST_REQUIRE(awaitRequests(fixture, 2));
        isReset ? caller.reset() : caller.close();
        const UnansweredReason reason = isReset ? UnansweredReason::CallerReset : UnansweredReason::CallerClosed;
        BOOST_TEST(fixture.runUntil([&]() { return unanswered(fixture, reason) == 1; }), isReset);
        BOOST_TEST(unanswered(fixture) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(an_incomplete_head_is_counted)
{
    DaemonFixture fixture;
    KeptConnection caller(fixture);
    caller.write("GET /r/1 HTTP/1.1\r\nHost: desk");
    BOOST_TEST(fixture.runUntil([&]() { return unanswered(fixture, UnansweredReason::HeadIncomplete) == 1; }));
    BOOST_TEST(fixture.receivedRequests_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_streamed_body_that_ends_early_is_counted)
{
    DaemonFixture fixture;
    KeptConnection caller(fixture);
    caller.write(requestHead("POST", "/u/1", "a1", 3000, StreamedBytes) + std::string(FirstBytes, 'b'));
    BOOST_REQUIRE(awaitRequests(fixture, 2));
    caller.closeSending();
    BOOST_TEST(fixture.runUntil([&]() { return unanswered(fixture) == 1; }));
}

BOOST_AUTO_TEST_CASE(a_long_response_that_is_cut_is_counted)
{
    DaemonFixture fixture;
    KeptConnection caller(fixture);
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 400000\r\n\r\n";
    fixture.scriptedResponses_.push_back({head + std::string(200000, 'v'), "", AfterResponse::Close});
    caller.write(requestHead("GET", "/r/1", "a1", 1200, 0));
    BOOST_TEST(fixture.runUntil([&]() { return unanswered(fixture, UnansweredReason::ResponseCut) == 1; }));
    BOOST_TEST(unanswered(fixture) == 1U);
}

BOOST_AUTO_TEST_CASE(answered_requests_and_idle_connections_are_not_counted)
{
    DaemonFixture fixture;
    KeptConnection caller(fixture);
    fixture.scriptedResponses_.push_back({"garbage\r\n\r\n"});
    caller.write(requestHead("POST", "/w/1", "a1", 1200, 0));
    BOOST_TEST(caller.awaitStatus() == 502U);
    caller.close();
    fixture.runFor(Millis(100));
    BOOST_TEST(unanswered(fixture) == 0U);
}

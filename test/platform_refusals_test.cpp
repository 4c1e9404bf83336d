// Refusals that a faulty backend server sends more than once, over real sockets.
#define BOOST_TEST_MODULE platform_refusals
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Refusals as the backend server sends them; "{id}" is replaced by the request's Attempt-Id.
const std::string NamedRefusal = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string UnnamedRefusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string UnnamedBadRequest = "HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string UnnamedWrongInstance = "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

// Sends a write with its own target.
CallerResponse sendWrite(DaemonFixture &fixture, Millis timeLimit = Millis(1200))
{
    static int lastTarget = 0;
    return fixture.request("POST", "/w/" + std::to_string(++lastTarget), "lesson", timeLimit);
}

} // namespace

// Guards against a request that runs while its caller is told, by the repetition of an earlier refusal, that it was not run.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_is_not_taken_for_the_next_request)
{
    for (const std::string &refusal : {NamedRefusal, UnnamedRefusal, UnnamedBadRequest, UnnamedWrongInstance}) {
        DaemonFixture fixture;
        ScriptedResponse scripted{refusal, refusal};
        scripted.lateDelay_ = Millis(300);
        fixture.scriptedResponses_.push_back(scripted);
        BOOST_TEST(sendWrite(fixture, Millis(100)).status_ == 503U, refusal);
        fixture.announce("ready", 2);
        fixture.runFor(Millis(20));
        // The refusal is repeated while this request waits for its response.
        const CallerResponse second = sendWrite(fixture);
        BOOST_TEST(second.status_ == 200U, refusal << second.status_);
        BOOST_TEST(second.body_ == "whole", refusal);
        BOOST_TEST(fixture.receivedRequests_.size() == 2U, refusal);
    }
}

// Guards against the same when the refusal names no request and only the connection is known to have carried others.
BOOST_AUTO_TEST_CASE(a_refusal_without_an_id_on_a_reused_connection_proves_nothing)
{
    for (const std::string &refusal : {UnnamedRefusal, UnnamedBadRequest, UnnamedWrongInstance}) {
        DaemonFixture fixture;
        BOOST_TEST(sendWrite(fixture).status_ == 200U);
        fixture.scriptedResponses_.push_back({refusal});
        const CallerResponse second = sendWrite(fixture);
        BOOST_TEST(second.status_ == 502U, refusal << second.status_);
        BOOST_TEST(fixture.receivedRequests_.size() == 2U, refusal);
        // The instance is still in use.
        BOOST_TEST(sendWrite(fixture).status_ == 200U, refusal);
    }
}

// Refusals that can belong to no other request still allow the caller to retry, and one with an id keeps its connection.
BOOST_AUTO_TEST_CASE(a_refusal_that_can_only_belong_to_the_request_is_passed_on)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_.push_back({UnnamedRefusal});
    BOOST_TEST(sendWrite(fixture, Millis(100)).status_ == 503U);
    BOOST_TEST(sendWrite(fixture).status_ == 200U);
    const int connections = fixture.backendConnections_;
    fixture.scriptedResponses_.push_back({NamedRefusal});
    BOOST_TEST(sendWrite(fixture, Millis(100)).status_ == 503U);
    BOOST_TEST(sendWrite(fixture).status_ == 200U);
    BOOST_TEST(fixture.backendConnections_ == connections);
}

// Guards against the refusal of a health check that is taken for a request, after the check took a late response for its own.
BOOST_AUTO_TEST_CASE(a_late_response_is_not_taken_for_a_health_check)
{
    DaemonFixture fixture(20);
    // A check precedes the first request; the next request follows so soon that it needs none.
    BOOST_TEST(fixture.request("GET", "/r/0", {}, Millis(1200), Millis(1)).status_ == 200U);
    BOOST_REQUIRE(fixture.receivedRequests_.size() == 2U);
    ScriptedResponse first{DaemonFixture::matchingResponse("first"), DaemonFixture::matchingResponse("first")};
    first.lateDelay_ = Millis(250);
    fixture.scriptedResponses_.push_back(first);
    // The response to the health check, which the backend server sends after its late response.
    fixture.scriptedResponses_.push_back({UnnamedRefusal});
    BOOST_TEST(sendWrite(fixture).body_ == "first");
    fixture.runFor(Millis(100));
    const CallerResponse second = sendWrite(fixture);
    BOOST_REQUIRE(fixture.receivedRequests_.size() == 5U);
    BOOST_TEST(fixture.receivedRequests_[3].message_.target() == "/health");
    BOOST_TEST(second.status_ == 200U, second.status_);
    BOOST_TEST(second.body_ == "whole");
}

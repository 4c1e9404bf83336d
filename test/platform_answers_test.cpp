// Invalid, late and truncated responses of a backend server, over real sockets.
#define BOOST_TEST_MODULE platform_answers
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// A response of the backend server with status 200 and exactly these header lines and body. The backend server replaces "{id}" by the Attempt-Id.
std::string rawResponse(const std::string &headerLines, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + headerLines + "\r\n" + body;
}

// Header fields of a response that matches the request.
const std::string MatchingFields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";

// True when a caller would take the response as a complete success.
bool isCompleteSuccess(const CallerResponse &response)
{
    return response.complete_ && response.status_ / 100 == 2;
}

// Sends a write request to which the backend server sends one scripted response.
CallerResponse sendWrite(DaemonFixture &fixture, const ScriptedResponse &response)
{
    fixture.scriptedResponses_.push_back(response);
    // Each request has its own target, since repeated failures of one target would make it a suspect.
    static int lastTarget = 0;
    return fixture.request("POST", "/w/" + std::to_string(++lastTarget), "lesson");
}

} // namespace

BOOST_AUTO_TEST_CASE(a_complete_response_is_forwarded_unchanged)
{
    DaemonFixture fixture;
    const CallerResponse response = sendWrite(fixture, {DaemonFixture::matchingResponse("seat 12")});
    BOOST_TEST(isCompleteSuccess(response));
    BOOST_TEST(response.body_ == "seat 12");
    BOOST_TEST(response.trailingBytes_.empty());
    BOOST_REQUIRE(fixture.receivedRequests_.size() == 1U);
    BOOST_TEST(fixture.receivedRequests_[0].message_.body() == "lesson");
    BOOST_TEST(fixture.receivedRequests_[0].message_["Caller-Service"] == "booking");
    BOOST_TEST(fixture.receivedRequests_[0].message_["Expect-Instance"] == "i-1");
}

BOOST_AUTO_TEST_CASE(invalid_responses_are_never_reported_as_success)
{
    const std::vector<std::pair<const char *, ScriptedResponse>> cases{
        {"another id", {rawResponse("Attempt-Id: other\r\nResponse-Signature: s\r\nContent-Length: 2\r\n", "no")}},
        {"no id", {rawResponse("Response-Signature: s\r\nContent-Length: 2\r\n", "no")}},
        {"no signature", {rawResponse("Attempt-Id: {id}\r\nContent-Length: 2\r\n", "no")}},
        {"an encoding", {rawResponse(MatchingFields + "Content-Encoding: gzip\r\nContent-Length: 2\r\n", "no")}},
        {"truncated by a FIN", {rawResponse(MatchingFields + "Content-Length: 20\r\n", "half"), {}, AfterResponse::Close}},
        {"truncated by a RST", {rawResponse(MatchingFields + "Content-Length: 20\r\n", "half"), {}, AfterResponse::Reset}},
        {"truncated within a chunk", {rawResponse(MatchingFields + "Transfer-Encoding: chunked\r\n", "a\r\nhalf"), {}, AfterResponse::Close}},
        {"truncated within the head", {"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nRespon", {}, AfterResponse::Close}},
        {"not HTTP", {"garbage of another program\r\n\r\n"}},
        {"two Content-Length fields", {rawResponse(MatchingFields + "Content-Length: 2\r\nContent-Length: 3\r\n", "no")}},
        {"Content-Length with chunked encoding", {rawResponse(MatchingFields + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n")}},
        {"an unknown transfer encoding", {rawResponse(MatchingFields + "Transfer-Encoding: xchunked\r\n", "2\r\nno\r\n0\r\n\r\n"), {}, AfterResponse::Close}},
        {"no length and a RST", {rawResponse(MatchingFields, "half"), {}, AfterResponse::Reset}},
    };
    DaemonFixture fixture;
    int number = 0;
    for (const auto &[name, scripted] : cases) {
        const CallerResponse response = sendWrite(fixture, scripted);
        BOOST_TEST(!isCompleteSuccess(response), name << ": status " << response.status_ << " body " << response.body_);
        // A write that may have run must not be sent again.
        BOOST_TEST(fixture.receivedRequests_.size() == static_cast<std::size_t>(++number), name);
        fixture.announce("ready", number + 1);
        fixture.runFor(Millis(20));
    }
    BOOST_TEST(isCompleteSuccess(sendWrite(fixture, {DaemonFixture::matchingResponse("after all")})));
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_ends_with_its_connection)
{
    DaemonFixture fixture;
    const CallerResponse response = sendWrite(fixture, {rawResponse(MatchingFields, "until the end"), {}, AfterResponse::Close});
    BOOST_TEST(isCompleteSuccess(response));
    BOOST_TEST(response.body_ == "until the end");
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_are_discarded_with_the_connection)
{
    for (const bool isLate : {false, true}) {
        DaemonFixture fixture;
        const std::string trailing = rawResponse("Attempt-Id: other\r\nResponse-Signature: s\r\nContent-Length: 5\r\n", "wrong");
        const ScriptedResponse scripted{DaemonFixture::matchingResponse("first") + (isLate ? "" : trailing), isLate ? trailing : ""};
        BOOST_TEST(sendWrite(fixture, scripted).body_ == "first");
        // Longer than the 20 ms after which the backend server sends lateBytes_.
        fixture.runFor(Millis(60));
        const CallerResponse second = sendWrite(fixture, {DaemonFixture::matchingResponse("second")});
        BOOST_TEST(second.body_ == "second");
        BOOST_TEST(fixture.backendConnections_ == 2);
    }
}

BOOST_AUTO_TEST_CASE(a_response_to_an_earlier_request_is_skipped)
{
    DaemonFixture fixture;
    const std::string staleResponse = rawResponse("Attempt-Id: earlier\r\nResponse-Signature: s\r\nContent-Length: 5\r\n", "wrong");
    const CallerResponse response = sendWrite(fixture, {staleResponse + DaemonFixture::matchingResponse("own")});
    BOOST_TEST(response.body_ == "own");
}

BOOST_AUTO_TEST_CASE(an_early_response_does_not_truncate_the_body)
{
    DaemonFixture fixture;
    const std::string body(900000, 'v');
    // The response is sent before the body is read.
    fixture.scriptedResponses_.push_back({DaemonFixture::matchingResponse("early"), {}, AfterResponse::KeepOpen, true});
    const CallerResponse response = fixture.request("POST", "/u/1", body);
    BOOST_TEST(response.body_ == "early");
    fixture.runUntil([&]() { return fixture.receivedRequests_[0].message_.body().size() == body.size(); }, Millis(1000));
    // Either the complete body arrives or the connection is closed. No other bytes may arrive in place of the rest.
    BOOST_TEST(body.starts_with(fixture.receivedRequests_[0].message_.body()));
    const CallerResponse next = sendWrite(fixture, {DaemonFixture::matchingResponse("next")});
    BOOST_TEST(next.body_ == "next");
    BOOST_TEST(fixture.receivedRequests_[1].message_.body() == "lesson");
}

BOOST_AUTO_TEST_CASE(refusals_and_failures_map_to_their_status_codes)
{
    DaemonFixture fixture;
    const CallerResponse refusal = sendWrite(fixture, {"HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
    BOOST_TEST(refusal.status_ == 503U);
    fixture.announce("ready", 2);
    fixture.runFor(Millis(20));
    const CallerResponse connectionLoss = sendWrite(fixture, {"", {}, AfterResponse::Close});
    BOOST_TEST(connectionLoss.status_ == 502U);
    const CallerResponse errorResponse
        = sendWrite(fixture, {"HTTP/1.1 500 Failed\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nbad"});
    BOOST_TEST(errorResponse.status_ == 500U);
    BOOST_TEST(errorResponse.body_ == "bad");
}

// Guards against the loss of several writes when the backend server silently discards idle connections and resets whatever is sent on them next.
BOOST_AUTO_TEST_CASE(silently_dropped_connections_lose_at_most_one_write)
{
    DaemonFixture fixture;
    fixture.maxAcceptedIdleTime_ = Millis(120);
    int lost = 0;
    for (int number = 0; number < 6; ++number) {
        lost += isCompleteSuccess(sendWrite(fixture, {DaemonFixture::matchingResponse("own")})) ? 0 : 1;
        fixture.runFor(Millis(200));
        fixture.announce("ready", number + 2);
        fixture.runFor(Millis(20));
    }
    BOOST_TEST(lost <= 1);
    // Connections that were used recently are still reused.
    const int before = fixture.backendConnections_;
    sendWrite(fixture, {DaemonFixture::matchingResponse("own")});
    sendWrite(fixture, {DaemonFixture::matchingResponse("own")});
    BOOST_TEST(fixture.backendConnections_ == before + 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_cancels_the_request_at_the_backend_server)
{
    DaemonFixture fixture;
    // The backend server does not respond.
    fixture.scriptedResponses_.push_back({});
    fixture.sendAndDisconnect("GET /r/9 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: gone\r\nDeadline-Ms: 1200\r\n\r\n", Millis(60));
    BOOST_REQUIRE(fixture.receivedRequests_.size() == 1U);
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_[0].cancelled_; }, Millis(250)));
}

BOOST_AUTO_TEST_CASE(a_backend_server_that_never_responds_does_not_delay_a_call_beyond_its_deadline)
{
    DaemonFixture fixture;
    // The backend server does not respond.
    const CallerResponse response = sendWrite(fixture, {});
    BOOST_TEST(response.status_ == 504U);
    // The deadline of the request is 1200 ms.
    BOOST_TEST((response.duration_ < Millis(1400)));
    BOOST_TEST(isCompleteSuccess(sendWrite(fixture, {DaemonFixture::matchingResponse("next")})));
}

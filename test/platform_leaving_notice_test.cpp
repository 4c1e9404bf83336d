// Backend servers that state in their responses that they leave, over real sockets.
#define BOOST_TEST_MODULE platform_leaving_notice
#include "standin/open_callers.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

const std::string LeavingField = "Server-Leaving: 1\r\n";

// True once the daemon refuses new requests for its backend server because that server leaves.
bool isDraining(DaemonFixture &fixture)
{
    return fixture.daemon().worldRunner().world().admissions_.backend_.state_ == BackendState::Draining;
}

} // namespace

// Guards against requests to a server that has stated that it leaves, while its heartbeats still say that it is ready.
BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_request_after_the_drain_time)
{
    DaemonFixture fixture;
    fixture.backendFields_ = LeavingField;
    OpenCallers callers(fixture);
    callers.send("GET", "/r/");
    fixture.runFor(Millis(100));
    fixture.announce("ready", 2);
    callers.run("GET", "/r/", Millis(100), Millis(3000));
    fixture.announce("ready", 3);
    callers.run("POST", "/w/", Millis(100), Millis(1000));
    fixture.runFor(Millis(1500));
    BOOST_TEST(callers.requests_.front().status_ == 200U);
    for (const std::string &text : ServerNoticeRule(callers.observe({})).violations()) {
        BOOST_ERROR(text);
    }
}

// Guards against a notice that is read from complete responses only.
BOOST_AUTO_TEST_CASE(every_kind_of_response_tells_that_a_server_leaves)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n" + LeavingField;
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"whole", {DaemonFixture::matchingResponse("own", LeavingField)}},
        {"failure", {"HTTP/1.1 500 Failed\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n" + LeavingField + "Content-Length: 0\r\n\r\n"}},
        {"refusal", {"HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n" + LeavingField + "Content-Length: 0\r\n\r\n"}},
        {"refusal without id", {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + LeavingField + "Content-Length: 0\r\n\r\n"}},
        {"broken off", {ok + "Content-Length: 100\r\n\r\npart", {}, AfterResponse::Close}},
        {"without its end", {ok + "Content-Length: 100\r\n\r\npart"}},
        {"without signature", {"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n" + LeavingField + "Content-Length: 0\r\n\r\n"}},
    };
    for (const auto &[name, scripted] : cases) {
        DaemonFixture fixture;
        fixture.scriptedResponses_.push_back(scripted);
        OpenCallers callers(fixture);
        callers.send("POST", "/w/");
        BOOST_TEST(fixture.runUntil([&]() { return isDraining(fixture); }, Millis(400)), name);
        fixture.announce("ready", 2);
        fixture.runFor(Millis(50));
        BOOST_TEST(isDraining(fixture), name << ", after a heartbeat that says ready");
        fixture.runFor(Millis(1500));
    }
}

// Guards against a health check whose notice is ignored, also when it fails.
BOOST_AUTO_TEST_CASE(a_health_check_tells_that_a_server_leaves)
{
    for (const std::string &status : {std::string("200 OK"), std::string("503 Draining")}) {
        DaemonFixture fixture(20);
        fixture.backendFields_ = "Instance-Id: i-1\r\nServer-Load: 0,0,4,100\r\n";
        fixture.request("GET", "/r/1");
        fixture.runFor(Millis(200));
        const std::string health = "HTTP/1.1 " + status + "\r\nInstance-Id: i-1\r\nServer-Load: 0,0,4,100\r\n" + LeavingField + "Content-Length: 0\r\n\r\n";
        fixture.responsesById_[""] = ScriptedResponse{health};
        OpenCallers callers(fixture);
        callers.send("GET", "/r/");
        BOOST_TEST(fixture.runUntil([&]() { return isDraining(fixture); }, Millis(400)), status);
        fixture.runFor(Millis(1500));
    }
}

// Guards against a notice that is lost because its caller has left.
BOOST_AUTO_TEST_CASE(a_request_whose_caller_has_left_tells_that_a_server_leaves)
{
    DaemonFixture fixture;
    ScriptedResponse late;
    late.respondsBeforeBody_ = true;
    late.bytes_ = DaemonFixture::matchingResponse("own", LeavingField);
    late.earlyDelay_ = Millis(150);
    fixture.scriptedResponses_.push_back(late);
    fixture.sendAndDisconnect("POST /w/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: id1\r\nDeadline-Ms: 1200\r\nContent-Length: 0\r\n\r\n", Millis(50));
    BOOST_TEST(fixture.runUntil([&]() { return isDraining(fixture); }, Millis(600)));
}

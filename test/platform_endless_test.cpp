// Responses of a faulty backend server that do not end, over real sockets.
#define BOOST_TEST_MODULE platform_endless
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Deadline of the requests that DaemonFixture::request() sends.
constexpr Millis RequestDeadline{1200};
// A connection that carries no valid response is closed well before the deadline.
constexpr Millis PromptEnd{600};
// Upper limit of the bytes that the sockets' buffers and the daemon take together.
constexpr std::uint64_t MaxTakenBytes = std::uint64_t{16} << 20U;

const std::string MatchingFields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";
const std::string OkLine = "HTTP/1.1 200 OK\r\n";
const std::string ChunkedField = "Transfer-Encoding: chunked\r\n";
const std::string HugeLengthField = "Content-Length: 4000000000000\r\n";

// A part of a body without framing.
const std::string BodyPart(std::size_t{32} << 10U, 'x');

// One chunk of a chunked body.
const std::string Chunk = "8000\r\n" + BodyPart + "\r\n";

// A response that starts with `start` and goes on with `repeated` until the daemon closes the connection.
ScriptedResponse endless(const std::string &start, const std::string &repeated, Millis interval = Millis())
{
    ScriptedResponse response{start};
    response.repeatedBytes_ = repeated;
    response.repeatInterval_ = interval;
    return response;
}

// Sends a write to which the backend server responds with one scripted response. Each write has its own target, since repeated failures of one
// target would make it a suspect.
CallerResponse sendWrite(DaemonFixture &fixture, const ScriptedResponse &response)
{
    fixture.scriptedResponses_.push_back(response);
    static int lastTarget = 0;
    return fixture.request("POST", "/w/" + std::to_string(++lastTarget), "lesson");
}

// True when a caller would take the response as a complete success.
bool isCompleteSuccess(const CallerResponse &response)
{
    return response.complete_ && response.status_ / 100 == 2;
}

// Checks that the daemon has closed the connection of the latest request without taking many bytes, and that the slot is free again.
void checkReleased(DaemonFixture &fixture, const std::string &name)
{
    const std::size_t last = fixture.receivedRequests_.size() - 1;
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_[last].cancelled_; }, Millis(250)), name << ": the connection is still open");
    BOOST_TEST(fixture.receivedRequests_[last].repeatedBytesSent_ < MaxTakenBytes, name);
    BOOST_TEST((fixture.daemon().worldRunner().world().admissions_.inFlight_ == Slots()), name);
    BOOST_TEST(isCompleteSuccess(sendWrite(fixture, {DaemonFixture::matchingResponse("next")})), name);
}

// The result of a request to a server that responds with `start` and then with `repeated` until the connection is closed.
struct RawExchange {
    std::optional<HttpResponse> response_;
    bool ended_ = false;
    Millis duration_;
    std::uint64_t bytesSent_ = 0;
};

// Sends a request as to the store. The server gets no time to respond beyond the request's timeout of one second.
RawExchange requestFromRawServer(const ScriptedResponse &scripted)
{
    constexpr std::chrono::milliseconds Timeout(1000);
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const Address address = fromEndpoint(acceptor.local_endpoint());
    RawExchange exchange;
    const auto serve = [&]() -> Task<> {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        error_code errorCode;
        co_await asio::async_write(socket, asio::buffer(scripted.bytes_), asio::redirect_error(asio::use_awaitable, errorCode));
        while (!errorCode) {
            co_await asio::async_write(socket, asio::buffer(scripted.repeatedBytes_), asio::redirect_error(asio::use_awaitable, errorCode));
            exchange.bytesSent_ += scripted.repeatedBytes_.size();
            asio::steady_timer timer(context, toChrono(scripted.repeatInterval_));
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    const auto request = [&]() -> Task<> {
        const Millis start = WorldRunner::now();
        exchange.response_ = co_await sendHttpRequest(context, address, makeRequest(http::verb::get, "/rows-get"), Timeout);
        exchange.duration_ = WorldRunner::now() - start;
        exchange.ended_ = true;
    };
    asio::co_spawn(context, serve, asio::detached);
    asio::co_spawn(context, request, asio::detached);
    while (!exchange.ended_ && context.run_one() > 0) { }
    return exchange;
}

} // namespace

// Guards against reading a response head without limit.
BOOST_AUTO_TEST_CASE(an_endless_response_head_fails_the_request_promptly)
{
    const std::string field = "X-Field: " + std::string(180, 'f') + "\r\n";
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"no line end", endless("", BodyPart)},
        {"zeros", endless("", std::string(4096, '\0'))},
        {"a status line without end", endless("HTTP/1.1 200 ", BodyPart)},
        {"a field without end", endless(OkLine + MatchingFields + "X-Field: ", BodyPart)},
        {"fields without end", endless(OkLine + MatchingFields, field)},
        {"fields without end, one in each segment", endless(OkLine + MatchingFields, field, Millis(1))},
        {"fields without end, each segment ends within a name", endless(OkLine + MatchingFields + "X", field.substr(1) + "X", Millis(1))},
        {"line ends without end", endless("", "\r\n", Millis(1))},
    };
    for (const auto &[name, scripted] : cases) {
        DaemonFixture fixture;
        const CallerResponse response = sendWrite(fixture, scripted);
        BOOST_TEST(response.status_ == 502U, name);
        BOOST_TEST((response.duration_ < PromptEnd), name << ": " << response.duration_.count() << " ms");
        checkReleased(fixture, name);
    }
}

// Guards against reading the body of a response that is not forwarded until the deadline.
BOOST_AUTO_TEST_CASE(an_endless_body_that_is_not_forwarded_is_broken_off_promptly)
{
    const std::string stale = OkLine + "Attempt-Id: earlier\r\nResponse-Signature: s\r\n";
    const std::string refused = "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n";
    const std::string wrongInstance = "HTTP/1.1 421 Other\r\nAttempt-Id: {id}\r\n";
    const std::string unsignedResponse = OkLine + "Attempt-Id: {id}\r\n";
    struct Case {
        std::string name_;
        std::string head_;
        unsigned status_;
    };
    const std::vector<Case> cases{
        {"stale", stale, 502},
        {"refused", refused, 503},
        {"wrong instance", wrongInstance, 503},
        {"unsigned", unsignedResponse, 502},
    };
    const std::vector<std::pair<std::string, std::string>> framings{{ChunkedField, Chunk}, {HugeLengthField, BodyPart}, {"", BodyPart}};
    for (const Case &faultyCase : cases) {
        for (const auto &[framing, part] : framings) {
            for (const Millis interval : {Millis(), Millis(100)}) {
                const std::string name = faultyCase.name_ + ", " + framing + " every " + std::to_string(interval.count()) + " ms";
                DaemonFixture fixture;
                const CallerResponse response = sendWrite(fixture, endless(faultyCase.head_ + framing + "\r\n", part, interval));
                BOOST_TEST(response.status_ == faultyCase.status_, name);
                BOOST_TEST((fixture.receivedRequests_[0].openTime_ < PromptEnd), name << ": " << fixture.receivedRequests_[0].openTime_.count() << " ms");
                fixture.announce("ready", 2);
                fixture.runFor(Millis(20));
                checkReleased(fixture, name);
            }
        }
    }
}

// Guards against forwarding an interim response in place of the final one.
BOOST_AUTO_TEST_CASE(interim_responses_are_not_forwarded)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\n";
    DaemonFixture fixture;
    for (const std::string &prefix : {std::string("HTTP/1.1 100 Continue\r\n\r\n"), interim, interim + interim}) {
        const CallerResponse response = sendWrite(fixture, {prefix + DaemonFixture::matchingResponse("own")});
        BOOST_TEST(response.status_ == 200U);
        BOOST_TEST(response.body_ == "own");
        BOOST_TEST(response.trailingBytes_.empty());
    }
    const std::string switching = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\n";
    BOOST_TEST(sendWrite(fixture, {switching + DaemonFixture::matchingResponse("own")}).status_ == 502U);
}

// Guards against skipping responses to earlier requests without limit.
BOOST_AUTO_TEST_CASE(endless_responses_to_earlier_requests_fail_the_request_promptly)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"whole responses", OkLine + "Attempt-Id: earlier\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"},
        {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim responses with the id", "HTTP/1.1 103 Early Hints\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\n"},
    };
    for (const auto &[name, repeated] : cases) {
        DaemonFixture fixture;
        const CallerResponse response = sendWrite(fixture, endless("", repeated));
        BOOST_TEST(response.status_ == 502U, name << ": " << response.status_);
        BOOST_TEST((response.duration_ < PromptEnd), name << ": " << response.duration_.count() << " ms");
        checkReleased(fixture, name);
    }
}

// Guards against a relayed response without end that keeps the caller waiting after the deadline.
BOOST_AUTO_TEST_CASE(an_endless_body_is_broken_off_at_the_deadline)
{
    const std::vector<std::pair<std::string, std::string>> framings{{ChunkedField, Chunk}, {"Content-Length: 8000000\r\n", BodyPart}, {"", BodyPart}};
    for (const std::string &method : {std::string("GET"), std::string("POST")}) {
        for (const auto &[framing, part] : framings) {
            const std::string name = method + " " + framing;
            DaemonFixture fixture;
            fixture.scriptedResponses_.push_back(endless(OkLine + MatchingFields + framing + "\r\n", part, Millis(20)));
            const CallerResponse response = fixture.request(method, method == "GET" ? "/r/1" : "/w/1", method == "GET" ? "" : "lesson");
            BOOST_TEST(!response.complete_, name);
            BOOST_TEST((response.duration_ < RequestDeadline + Millis(400)), name << ": " << response.duration_.count() << " ms");
            checkReleased(fixture, name);
        }
    }
}

// Guards against a short response that is sent byte by byte and keeps the caller waiting after the deadline.
BOOST_AUTO_TEST_CASE(a_slow_body_ends_at_the_deadline)
{
    const std::vector<std::pair<std::string, std::string>> framings{{ChunkedField, "1\r\nx\r\n"}, {HugeLengthField, "x"}, {"", "x"}};
    for (const auto &[framing, part] : framings) {
        DaemonFixture fixture;
        const CallerResponse response = sendWrite(fixture, endless(OkLine + MatchingFields + framing + "\r\n", part, Millis(5)));
        BOOST_TEST(response.status_ == 504U, framing);
        BOOST_TEST((response.duration_ < RequestDeadline + Millis(400)), framing << ": " << response.duration_.count() << " ms");
        checkReleased(fixture, framing);
    }
}

// Guards against buffering chunk framing without limit.
BOOST_AUTO_TEST_CASE(endless_chunk_framing_fails_the_request_promptly)
{
    const std::string head = OkLine + MatchingFields + ChunkedField + "\r\n";
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"a chunk extension", endless(head + "5;name=", BodyPart)},
        {"a chunk size", endless(head, std::string(4096, '0'))},
        {"a trailer field", endless(head + "2\r\nno\r\n0\r\nX-Field: ", BodyPart)},
        {"trailer fields", endless(head + "2\r\nno\r\n0\r\n", "X-Field: " + std::string(180, 'f') + "\r\n", Millis(1))},
    };
    for (const auto &[name, scripted] : cases) {
        DaemonFixture fixture;
        const CallerResponse response = sendWrite(fixture, scripted);
        BOOST_TEST(!isCompleteSuccess(response), name);
        BOOST_TEST((response.duration_ < PromptEnd), name << ": " << response.duration_.count() << " ms");
        checkReleased(fixture, name);
    }
}

// Guards against a connection that stays in the pool while bytes without end follow a complete response.
BOOST_AUTO_TEST_CASE(endless_bytes_after_a_response_close_the_idle_connection)
{
    for (const bool isLate : {false, true}) {
        DaemonFixture fixture;
        ScriptedResponse scripted = endless(DaemonFixture::matchingResponse("own"), BodyPart);
        scripted.lateBytes_ = isLate ? "late" : "";
        const CallerResponse response = sendWrite(fixture, scripted);
        BOOST_TEST(response.body_ == "own");
        checkReleased(fixture, isLate ? "late" : "at once");
    }
}

// Guards against a health check that takes bytes without end.
BOOST_AUTO_TEST_CASE(an_endless_response_to_a_health_check_is_broken_off)
{
    const std::string fields = "Instance-Id: i-1\r\nServer-Load: 0,0,4,100\r\n";
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"no line end", endless("", BodyPart)},
        {"fields", endless(OkLine + fields, "X-Field: " + std::string(180, 'f') + "\r\n", Millis(1))},
        {"a chunked body", endless(OkLine + fields + ChunkedField + "\r\n", Chunk)},
        {"a chunk extension", endless(OkLine + fields + ChunkedField + "\r\n5;name=", BodyPart)},
        {"a huge length", endless(OkLine + fields + HugeLengthField + "\r\n", BodyPart)},
        {"no length", endless(OkLine + fields + "\r\n", BodyPart)},
    };
    for (const auto &[name, scripted] : cases) {
        DaemonFixture fixture(20);
        // A check precedes the first request.
        BOOST_TEST(isCompleteSuccess(fixture.request("POST", "/w/first", "lesson")), name);
        BOOST_REQUIRE(fixture.receivedRequests_.size() == 2U);
        fixture.runFor(Millis(200));
        fixture.scriptedResponses_.push_back(scripted);
        const CallerResponse response = fixture.request("POST", "/w/1", "lesson");
        BOOST_REQUIRE(fixture.receivedRequests_.size() > 2);
        const ReceivedRequest &check = fixture.receivedRequests_[2];
        BOOST_TEST(check.message_.target() == "/health", name);
        BOOST_TEST(isCompleteSuccess(response), name << ": " << response.status_);
        BOOST_TEST((response.duration_ < Millis(200)), name << ": " << response.duration_.count() << " ms");
        BOOST_TEST(check.cancelled_, name);
        BOOST_TEST(check.repeatedBytesSent_ < MaxTakenBytes, name);
    }
}

// Guards against reading the head of a store's response without limit.
BOOST_AUTO_TEST_CASE(an_endless_head_from_the_store_ends_its_request_promptly)
{
    const std::string field = "-Field: " + std::string(180, 'f') + "\r\nX";
    const RawExchange exchange = requestFromRawServer(endless(OkLine + "X", field, Millis(1)));
    BOOST_TEST(!exchange.response_.has_value());
    BOOST_TEST((exchange.duration_ < PromptEnd), exchange.duration_.count() << " ms");
}

// Guards against reading the head of an announcement without limit.
BOOST_AUTO_TEST_CASE(an_endless_head_of_an_announcement_ends_its_connection_promptly)
{
    const std::string field = "-Field: " + std::string(180, 'f') + "\r\nX";
    DaemonFixture fixture;
    BOOST_TEST((fixture.sendAnnouncementWithoutEnd("POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nX", field, Millis(1)) < PromptEnd));
}

// Guards against buffering the chunk framing of a store's response without limit.
BOOST_AUTO_TEST_CASE(endless_chunk_framing_from_the_store_ends_its_request_promptly)
{
    for (const std::string &framing : {std::string("5;name="), std::string("2\r\n{}\r\n0\r\nX-Field: ")}) {
        const RawExchange exchange = requestFromRawServer(endless(OkLine + ChunkedField + "\r\n" + framing, BodyPart));
        BOOST_TEST(!exchange.response_.has_value());
        BOOST_TEST((exchange.duration_ < PromptEnd), exchange.duration_.count() << " ms");
        BOOST_TEST(exchange.bytesSent_ < MaxTakenBytes);
    }
}

// Guards against buffering the chunk framing of a caller's request without limit.
BOOST_AUTO_TEST_CASE(endless_chunk_framing_of_a_request_is_rejected)
{
    DaemonFixture fixture;
    const std::string head = "POST /w/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: id1\r\nDeadline-Ms: 1200\r\n" + ChunkedField + "\r\n";
    const CallerResponse response = fixture.send(head + "5;name=" + std::string(std::size_t{1} << 20U, 'x'));
    BOOST_TEST((response.duration_ < PromptEnd), response.duration_.count() << " ms");
    BOOST_TEST(!isCompleteSuccess(response));
    BOOST_TEST(fixture.receivedRequests_.empty());
}

// Guards against reading bytes without end for a caller that has left.
BOOST_AUTO_TEST_CASE(an_endless_body_is_broken_off_when_the_caller_leaves)
{
    const std::string request = "GET /r/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: id1\r\nDeadline-Ms: 1200\r\n\r\n";
    const std::string large = OkLine + MatchingFields + HugeLengthField + "\r\n" + std::string(std::size_t{200} << 10U, 'x');
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"nothing sent yet", ScriptedResponse{}},
        {"a body that is buffered", endless(OkLine + MatchingFields + HugeLengthField + "\r\n", "x", Millis(5))},
        {"a body that is relayed", endless(large, BodyPart, Millis(5))},
        {"a fast body that is relayed", endless(large, BodyPart)},
        {"a relayed body that pauses", endless(large, BodyPart, Millis(250))},
        {"chunks", endless(OkLine + MatchingFields + ChunkedField + "\r\n", Chunk, Millis(5))},
        {"a refusal", endless("HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 60000\r\n\r\n", "x", Millis(5))},
        {"a response to an earlier request", endless(OkLine + "Attempt-Id: earlier\r\nContent-Length: 60000\r\n\r\n", "x", Millis(5))},
    };
    for (const auto &[name, scripted] : cases) {
        DaemonFixture fixture;
        fixture.scriptedResponses_.push_back(scripted);
        fixture.sendAndDisconnect(request, Millis(300));
        BOOST_REQUIRE(fixture.receivedRequests_.size() == 1U);
        BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_[0].cancelled_; }, Millis(600)), name << ": the connection is still open");
        BOOST_TEST((fixture.receivedRequests_[0].openTime_ < Millis(900)), name << ": " << fixture.receivedRequests_[0].openTime_.count() << " ms");
        BOOST_TEST((fixture.daemon().worldRunner().world().admissions_.inFlight_ == Slots()), name);
    }
}

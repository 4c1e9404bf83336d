// Requests and responses in progress on the connections of a daemon that shuts down, over real sockets.
#define BOOST_TEST_MODULE platform_shutdown
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <vector>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

const std::string UploadHead = "POST /u/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 3000\r\n";

// Waits until the daemon has decided to exit.
bool awaitExitDecision(DaemonFixture &fixture)
{
    return fixture.runUntil([&]() { return fixture.process().hasLogged("leaving the fleet"); }, Millis(6000));
}

// Waits until the process has ended.
bool awaitExit(DaemonFixture &fixture, Millis timeout = Millis(6000))
{
    return fixture.runUntil([&]() { return fixture.process().hasExited(); }, timeout);
}

// Encodes an offer with its request inline, as another daemon sends it.
std::string encodeOffer(std::uint64_t attempt)
{
    Offer offer;
    offer.attempt_ = attempt;
    offer.sender_ = InstanceName("peer");
    offer.service_ = ServiceName("booking");
    offer.class_ = ClassName("r");
    offer.remaining_ = Millis(4000);
    offer.latencyTargetRemaining_ = Millis(4000);
    offer.fingerprint_ = Fingerprint(attempt);
    offer.routed_ = true;
    offer.isIdempotent_ = true;
    offer.isBodyInline_ = true;
    offer.trace_ = TraceId("a" + std::to_string(attempt));
    const RequestHead head{attempt, "GET", "/r/1", {{"Host", "desk.example"}, {"Attempt-Id", "a" + std::to_string(attempt)}}, true, 0};
    return encodeFrame(offer) + encodeFrame(head) + encodeFrame(BodyEnd{attempt, 0});
}

// Sends an offer with its request inline.
void sendOffer(Peer &peer, std::uint64_t attempt)
{
    peer.write(encodeOffer(attempt));
}

// Offers of one peer that shows what became of them.
struct OfferCounts {
    int refused_ = 0;
    // Offers that the daemon did not read, as the end of the connection shows.
    int unread_ = 0;
    // Offers of which the peer cannot know whether they were run.
    int unknown_ = 0;
    bool ended_ = false;
};

// Reads the next frame; nothing once the connection is lost.
Task<std::optional<Frame>> readFrame(tcp::socket &socket)
{
    std::string bytes(FrameLengthBytes, '\0');
    error_code errorCode;
    co_await asio::async_read(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
    if (!errorCode) {
        bytes.resize(decodeFrameLength(bytes));
        co_await asio::async_read(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
    }
    co_return errorCode ? std::nullopt : std::optional<Frame>(decodeFrame(bytes));
}

// Sends offers on one connection, each one after the reply to the one before, until the connection ends.
Task<> offerUntilEnd(DaemonFixture &fixture, std::shared_ptr<OfferCounts> counts)
{
    tcp::socket socket(fixture.context());
    socket.connect(toEndpoint<tcp>(fixture.exchangeAddress()));
    for (std::uint64_t attempt = 1; !counts->ended_; ++attempt) {
        error_code ignored; // The read reports a lost connection.
        const std::string offer = encodeOffer(attempt);
        co_await asio::async_write(socket, asio::buffer(offer), asio::redirect_error(asio::use_awaitable, ignored));
        const std::optional<Frame> frame = co_await readFrame(socket);
        const bool isRefused = frame && std::holds_alternative<OfferReply>(*frame);
        const bool isUnread = frame && std::holds_alternative<ConnectionEnd>(*frame);
        counts->refused_ += isRefused ? 1 : 0;
        counts->unread_ += isUnread ? 1 : 0;
        counts->unknown_ += isRefused || isUnread ? 0 : 1;
        counts->ended_ = !isRefused;
    }
}

// True once the daemon has no request at its backend server.
bool awaitIdle(DaemonFixture &fixture, std::size_t requests, Millis timeout)
{
    fixture.runUntil([&]() { return fixture.receivedRequests_.size() >= requests; });
    const Millis end = WorldRunner::now() + timeout;
    bool isIdle = false;
    while (!isIdle && WorldRunner::now() < end) {
        isIdle = fixture.statusPage().find(R"("in_flight":0,)") != std::string::npos;
    }
    return isIdle;
}

// Size of a response that the daemon has read completely from its backend server, but cannot write completely to a peer that does not read.
std::size_t sizeOfUnwrittenResponse(DaemonFixture &fixture)
{
    constexpr std::size_t Step = std::size_t{160} << 10U;
    std::size_t size = 0;
    bool isIdle = true;
    while (isIdle) {
        size += Step;
        fixture.scriptedResponses_.push_back({DaemonFixture::matchingResponse(std::string(size, 'v'))});
        Peer peer(fixture, fixture.exchangeAddress(), Millis(60000));
        const std::size_t requests = fixture.receivedRequests_.size() + 1;
        sendOffer(peer, requests);
        isIdle = awaitIdle(fixture, requests, Millis(250));
        peer.close();
        awaitIdle(fixture, requests, Millis(1000));
        fixture.announce("ready", static_cast<int>(requests) + 1);
        fixture.runFor(Millis(20));
    }
    return size - Step;
}

// Calls through new connections until the port is closed. Counts requests that were read and whose connection ended without a response.
Task<> callUntilRefused(DaemonFixture &fixture, std::shared_ptr<int> unanswered, std::shared_ptr<int> running)
{
    const std::string request = "GET /r/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 300\r\n\r\n";
    error_code connectError;
    while (!connectError) {
        tcp::socket socket(fixture.context());
        co_await socket.async_connect(toEndpoint<tcp>(fixture.callerAddress()), asio::redirect_error(asio::use_awaitable, connectError));
        error_code errorCode = connectError;
        if (!errorCode) {
            co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, errorCode));
        }
        beast::flat_buffer buffer;
        HttpResponse response;
        if (!errorCode) {
            co_await http::async_read(socket, buffer, response, asio::redirect_error(asio::use_awaitable, errorCode));
        }
        // A reset shows that the request was not read.
        *unanswered += errorCode == http::error::end_of_stream || errorCode == http::error::partial_message ? 1 : 0;
    }
    --*running;
}

} // namespace

// Guards against an exit that closes the connection of a request whose body is still arriving.
BOOST_AUTO_TEST_CASE(a_request_whose_body_is_still_arriving_is_answered_at_the_exit)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    Peer caller(fixture);
    fixture.process().sendSignal(SIGTERM);
    caller.write(UploadHead + "Content-Length: 1000\r\n\r\n" + std::string(400, 'v'));
    BOOST_TEST(awaitExitDecision(fixture));
    BOOST_TEST(fixture.runUntil([&]() { return caller.received().ended_; }, Millis(1000)));
    BOOST_TEST(caller.hasLastResponse(503), caller.received().bytes_);
    BOOST_TEST(!caller.received().reset_);
    // The rest of the body is already on its way when the response arrives.
    BOOST_TEST(caller.write(std::string(600, 'v')));
    caller.close();
    BOOST_TEST(awaitExit(fixture));
    BOOST_TEST(fixture.process().hasSucceeded());
    BOOST_TEST(fixture.receivedRequests_.empty());
}

// Guards against an exit that closes the connection of a request whose head is still arriving.
BOOST_AUTO_TEST_CASE(a_request_whose_head_is_still_arriving_is_answered_at_the_exit)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    fixture.process().sendSignal(SIGTERM);
    fixture.runFor(Millis(1500));
    Peer caller(fixture);
    caller.write("GET /r/1 HTTP/1.1\r\nHost: desk");
    BOOST_TEST(awaitExitDecision(fixture));
    BOOST_TEST(fixture.runUntil([&]() { return caller.received().ended_; }, Millis(1000)));
    BOOST_TEST(caller.hasLastResponse(503), caller.received().bytes_);
    BOOST_TEST(!caller.received().reset_);
    caller.close();
    BOOST_TEST(awaitExit(fixture));
    BOOST_TEST(fixture.process().hasSucceeded());
}

// Guards against an exit that cuts a response of which another daemon has not yet read the end.
BOOST_AUTO_TEST_CASE(a_response_that_another_daemon_reads_slowly_is_complete)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM, 1.4);
    const std::size_t size = sizeOfUnwrittenResponse(fixture);
    BOOST_TEST_MESSAGE("response of " << size << " bytes");
    fixture.scriptedResponses_.push_back({DaemonFixture::matchingResponse(std::string(size, 'v'))});
    // The daemon decides to exit after 980 ms.
    Peer peer(fixture, fixture.exchangeAddress(), Millis(1160));
    const std::size_t requests = fixture.receivedRequests_.size() + 1;
    sendOffer(peer, requests);
    fixture.process().sendSignal(SIGTERM);
    BOOST_TEST(awaitIdle(fixture, requests, Millis(500)));
    BOOST_TEST(fixture.runUntil([&]() { return peer.received().ended_; }, Millis(2000)));
    BOOST_TEST(peer.hasResponseEnd(), "received " << peer.received().bytes_.size() << " bytes");
    BOOST_TEST(awaitExit(fixture));
}

// Guards against requests that are read between the decision to exit and the end of the process and get no response.
BOOST_AUTO_TEST_CASE(requests_on_new_connections_are_answered_until_the_port_is_closed)
{
    constexpr int Callers = 16;
    DaemonFixture fixture(RADISHFORD_PROGRAM, 2);
    const auto unanswered = std::make_shared<int>(0);
    const auto running = std::make_shared<int>(Callers);
    fixture.process().sendSignal(SIGTERM);
    fixture.runFor(Millis(1000));
    for (int caller = 0; caller < Callers; ++caller) {
        asio::co_spawn(fixture.context(), callUntilRefused(fixture, unanswered, running), asio::detached);
    }
    BOOST_TEST(fixture.runUntil([&]() { return *running == 0; }));
    BOOST_TEST(*unanswered == 0);
    BOOST_TEST(awaitExit(fixture, Millis(500)));
    BOOST_TEST(fixture.process().hasSucceeded());
}

// Guards against a port that is closed while the caller of the last response opens its next connection, which the kernel then resets.
BOOST_AUTO_TEST_CASE(a_caller_that_reconnects_after_the_last_response_is_told_when_to_return)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    Peer lastCaller(fixture);
    fixture.process().sendSignal(SIGTERM);
    lastCaller.write(UploadHead + "Content-Length: 1000\r\n\r\n" + std::string(400, 'v'));
    BOOST_TEST(fixture.runUntil([&]() { return lastCaller.received().ended_; }, Millis(6000)));
    lastCaller.close();
    // A round trip over a slow link.
    fixture.runFor(Millis(10));
    Peer caller(fixture);
    caller.write("GET /r/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\n\r\n");
    BOOST_TEST(fixture.runUntil([&]() { return caller.hasLastResponse(503); }, Millis(500)), caller.received().bytes_);
    BOOST_TEST((caller.response() && caller.response()->count(http::field::retry_after) == 1));
    caller.close();
    BOOST_TEST(awaitExit(fixture, Millis(1000)));
    BOOST_TEST(fixture.process().hasSucceeded());
}

// Guards against a connection that stays open after a failure response to a call that arrived before the shutdown.
BOOST_AUTO_TEST_CASE(a_failed_call_of_a_daemon_that_shuts_down_ends_its_connection)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    // The backend server does not respond.
    fixture.scriptedResponses_.push_back({});
    Peer caller(fixture);
    caller.write("POST /w/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\nContent-Length: 1\r\n\r\nv");
    fixture.runUntil([&]() { return fixture.receivedRequests_.size() == 1; });
    fixture.process().sendSignal(SIGTERM);
    BOOST_TEST(fixture.runUntil([&]() { return caller.response().has_value(); }, Millis(2000)));
    BOOST_TEST(caller.hasLastResponse(504), caller.received().bytes_);
}

BOOST_AUTO_TEST_CASE(a_kept_connection_is_served_once_more_and_then_closed)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    const std::string request = "GET /r/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\n\r\n";
    Peer idleCaller(fixture);
    Peer caller(fixture);
    idleCaller.write(request);
    caller.write(request);
    BOOST_TEST(fixture.runUntil([&]() { return caller.response() && idleCaller.response(); }));
    BOOST_TEST((caller.response() && caller.response()->keep_alive()));
    fixture.process().sendSignal(SIGTERM);
    fixture.runFor(Millis(100));
    const std::size_t firstSize = caller.received().bytes_.size();
    caller.write(request);
    BOOST_TEST(fixture.runUntil([&]() { return caller.received().ended_; }, Millis(1000)));
    BOOST_TEST(caller.received().bytes_.find("Connection: close", firstSize) != std::string::npos);
    BOOST_TEST(fixture.runUntil([&]() { return idleCaller.received().ended_; }, Millis(6000)));
    BOOST_TEST(!idleCaller.received().reset_);
    BOOST_TEST(awaitExit(fixture, Millis(1000)));
}

// Guards against a reset that destroys a response, because the daemon closes the connection while bytes of the caller are unread.
BOOST_AUTO_TEST_CASE(unread_bytes_of_a_caller_do_not_destroy_its_response)
{
    constexpr std::size_t ResponseBytes = 1000000;
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    fixture.scriptedResponses_.push_back({DaemonFixture::matchingResponse(std::string(ResponseBytes, 'v'))});
    Peer caller(fixture, fixture.callerAddress(), Millis(400));
    caller.write("GET /r/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n");
    fixture.runUntil([&]() { return fixture.receivedRequests_.size() == 1; });
    caller.write("GET /r/2 HTTP/1.1\r\nHost: desk.example\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n");
    BOOST_TEST(fixture.runUntil([&]() { return caller.received().ended_; }, Millis(3000)));
    BOOST_TEST(!caller.received().reset_);
    BOOST_TEST((caller.response() && caller.response()->body().size() == ResponseBytes), "received " << caller.received().bytes_.size() << " bytes");
}

// Guards against a caller that keeps sending after its response and so delays the exit.
BOOST_AUTO_TEST_CASE(a_caller_that_keeps_sending_does_not_delay_the_exit_beyond_the_shutdown_time)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM, 2);
    Peer caller(fixture);
    fixture.process().sendSignal(SIGTERM);
    const Millis start = WorldRunner::now();
    caller.write(UploadHead + "Content-Length: 1000000\r\n\r\n");
    while (!fixture.process().hasExited() && WorldRunner::now() < start + Millis(4000)) {
        caller.write("v");
        fixture.runFor(Millis(20));
    }
    BOOST_TEST(fixture.process().hasSucceeded());
    BOOST_TEST((WorldRunner::now() < start + Millis(2200)));
    BOOST_TEST(caller.hasLastResponse(503), caller.received().bytes_);
}

BOOST_AUTO_TEST_CASE(a_daemon_without_configuration_exits_in_time)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM, 6, false);
    fixture.process().sendSignal(SIGTERM);
    BOOST_TEST(awaitExit(fixture));
    BOOST_TEST(fixture.process().hasSucceeded());
}

BOOST_AUTO_TEST_CASE(repeated_signals_and_reloads_do_not_delay_the_exit)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    const Millis start = WorldRunner::now();
    fixture.process().writeSettings(fixture.settingsText(5));
    fixture.process().sendSignal(SIGHUP);
    fixture.process().sendSignal(SIGTERM);
    while (!fixture.process().hasExited() && WorldRunner::now() < start + Millis(6000)) {
        fixture.process().writeSettings(WorldRunner::now().count() % 2 == 0 ? "{" : fixture.settingsText(5));
        fixture.process().sendSignal(SIGHUP);
        fixture.process().sendSignal(SIGTERM);
        fixture.runFor(Millis(50));
    }
    BOOST_TEST(fixture.process().hasSucceeded());
    BOOST_TEST((WorldRunner::now() < start + Millis(5000)));
}

// Guards against a request that crosses the close of a kept connection: the daemon reads it and never responds.
BOOST_AUTO_TEST_CASE(a_request_that_crosses_the_close_of_an_idle_connection_stays_unread)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    const std::string request = "GET /r/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\n\r\n";
    Peer caller(fixture);
    caller.write(request);
    BOOST_TEST(fixture.runUntil([&]() { return caller.response().has_value(); }));
    fixture.process().sendSignal(SIGTERM);
    BOOST_TEST(fixture.runUntil([&]() { return caller.received().ended_; }, Millis(6000)));
    caller.write(request);
    fixture.runFor(Millis(50));
    // The first write was answered by a reset, since the connection is closed.
    BOOST_TEST(!caller.write(request));
}

// Guards against a request that a daemon reads to its end although it will refuse it.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_end_before_the_exit_is_refused_before_its_body_is_read)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM, 2);
    fixture.process().sendSignal(SIGTERM);
    fixture.runFor(Millis(100));
    Peer caller(fixture);
    caller.write(UploadHead + "Content-Length: 2000\r\n\r\n" + std::string(1000, 'u'));
    BOOST_TEST(fixture.runUntil([&]() { return caller.hasLastResponse(503); }, Millis(500)));
    BOOST_TEST(fixture.receivedRequests_.empty());
}

// Guards against refused callers that all return at the same moment after the restart.
BOOST_AUTO_TEST_CASE(refused_callers_are_told_different_times_to_return)
{
    constexpr int Callers = 12;
    DaemonFixture fixture(RADISHFORD_PROGRAM, 2);
    std::vector<Peer> callers;
    for (int number = 0; number < Callers; ++number) {
        callers.emplace_back(fixture);
    }
    fixture.process().sendSignal(SIGTERM);
    fixture.runFor(Millis(100));
    for (Peer &caller : callers) {
        caller.write(UploadHead + "Content-Length: 2000\r\n\r\n");
    }
    double earliest = std::numeric_limits<double>::max();
    double latest = 0;
    for (const Peer &caller : callers) {
        BOOST_REQUIRE(fixture.runUntil([&]() { return caller.hasLastResponse(503); }, Millis(500)));
        const double seconds = std::stod(std::string((*caller.response())[http::field::retry_after]));
        earliest = std::min(earliest, seconds);
        latest = std::max(latest, seconds);
    }
    BOOST_TEST(latest - earliest > 0.1);
}

// Guards against a caller with a slow link that gets its failure response long after its time limit.
BOOST_AUTO_TEST_CASE(a_body_that_is_incomplete_at_the_time_limit_is_refused_then)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    Peer caller(fixture);
    caller.write("POST /w/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 600\r\nContent-Length: 2000\r\n\r\nhalf");
    BOOST_TEST(fixture.runUntil([&]() { return caller.hasLastResponse(503); }, Millis(1000)));
    BOOST_TEST(fixture.receivedRequests_.empty());
}

// Guards against an offer that crosses the end of its inbound daemon and counts as possibly run, although the daemon has not read it.
BOOST_AUTO_TEST_CASE(an_offer_that_crosses_the_end_of_a_daemon_is_known_to_be_unread)
{
    constexpr std::size_t Peers = 24;
    DaemonFixture fixture(RADISHFORD_PROGRAM, 2);
    fixture.process().sendSignal(SIGTERM);
    fixture.runFor(Millis(100));
    std::vector<std::shared_ptr<OfferCounts>> peers(Peers);
    for (auto &counts : peers) {
        counts = std::make_shared<OfferCounts>();
        asio::co_spawn(fixture.context(), offerUntilEnd(fixture, counts), asio::detached);
    }
    BOOST_TEST(fixture.runUntil([&]() { return std::all_of(peers.begin(), peers.end(), [](const auto &counts) { return counts->ended_; }); }));
    for (const auto &counts : peers) {
        BOOST_TEST(counts->refused_ > 0);
        BOOST_TEST(counts->unknown_ == 0);
    }
    BOOST_TEST(awaitExit(fixture));
    BOOST_TEST(fixture.process().hasSucceeded());
    BOOST_TEST(fixture.receivedRequests_.empty());
}

// Guards against a 502 for a call whose offer was not read by the daemon that it was sent to.
BOOST_AUTO_TEST_CASE(a_call_whose_offer_was_not_read_is_reported_as_not_run)
{
    DaemonFixture fixture;
    const Address address{fixture.exchangeAddress().ip_, 7407};
    tcp::acceptor acceptor(fixture.context(), toEndpoint<tcp>(address));
    int offers = 0;
    asio::co_spawn(
        fixture.context(),
        [&]() -> Task<> {
            for (;;) {
                tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
                const std::optional<Frame> frame = co_await readFrame(socket);
                offers += frame && std::holds_alternative<Offer>(*frame) ? 1 : 0;
                const std::string end = encodeFrame(ConnectionEnd{});
                co_await asio::async_write(socket, asio::buffer(end), asio::use_awaitable);
            }
        },
        asio::detached);
    fixture.announce("draining", 2);
    InstanceRecord record;
    record.name_ = InstanceName("peer");
    record.address_ = address;
    record.failureDomain_ = "a";
    record.incarnation_ = Incarnation(1);
    record.version_ = 1;
    record.service_ = ServiceName("booking");
    record.slots_ = Slots(4);
    record.backend_ = BackendState::Ready;
    GossipHeader header;
    header.sender_ = record.name_;
    header.records_ = {record};
    fixture.daemon().worldRunner().post(DatagramArrived{address, Ping{header}});
    fixture.runFor(Millis(50));
    const CallerResponse response = fixture.request("GET", "/r/1", {}, Millis(600));
    BOOST_TEST(offers > 0);
    BOOST_TEST(response.status_ == 503U);
    BOOST_TEST(fixture.receivedRequests_.empty());
}

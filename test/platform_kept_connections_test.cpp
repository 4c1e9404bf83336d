// Requests on kept connections with two events at one moment: each gets one whole answer, or the connection ends before it is passed on.
#define BOOST_TEST_MODULE platform_kept_connections
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <deque>
#include <memory>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// timeoutS of the fixture's route /r/.
constexpr Millis RouteTimeout{1200};

// Runs the fixture and several callers until a condition holds or the timeout expires.
bool runUntil(DaemonFixture &fixture, std::deque<KeptCaller> &callers, const std::function<bool()> &condition, Millis timeout = Millis(6000))
{
    return fixture.runUntil(
        [&]() {
            for (KeptCaller &caller : callers) {
                caller.pump();
            }
            return condition();
        },
        timeout);
}

// True when all callers have a second response or an ended connection.
bool areAllDone(const std::deque<KeptCaller> &callers)
{
    return std::all_of(callers.begin(), callers.end(), [](const KeptCaller &caller) { return caller.hasEnded() || caller.responses().size() >= 2; });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_sent_at_the_end_of_the_response_before_it_is_lost)
{
    DaemonFixture fixture;
    // The second request follows the first one by a number of handlers, so that it arrives before, at and after the end of its response.
    for (int handlers = 0; handlers < 150; ++handlers) {
        KeptCaller caller(fixture);
        const std::string id = "a" + std::to_string(handlers);
        caller.send(plainRequest("GET", "/r/1", id));
        caller.runHandlers(handlers);
        caller.send(plainRequest("POST", "/w/1", id + "b"));
        BOOST_TEST(caller.awaitStatus(3) == 200U, handlers);
    }
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(a_large_head_in_pieces_at_the_end_of_a_response_is_lost)
{
    DaemonFixture fixture;
    const std::string padding = "X-Padding: " + std::string(6000, 'p') + "\r\n";
    for (const std::size_t size : {1U, 500U, 4095U, 4096U, 4097U}) {
        KeptCaller caller(fixture);
        const std::string id = "a" + std::to_string(size);
        std::string second = plainRequest("GET", "/r/1", id + "b");
        second.insert(second.size() - 2, padding);
        caller.send(plainRequest("GET", "/r/1", id) + second.substr(0, size));
        BOOST_TEST(caller.awaitStatus() == 200U);
        caller.send(second.substr(size, 1000));
        caller.runFor(Millis(5));
        caller.send(second.substr(size + 1000));
        BOOST_TEST(caller.awaitStatus(3) == 200U, size);
    }
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(a_request_behind_one_that_fails_is_lost)
{
    DaemonFixture fixture;
    for (const ScriptedResponse &response : {ScriptedResponse{.bytes_ = "garbage\r\n\r\n"}, ScriptedResponse{.bytes_ = refusal()},
                                             ScriptedResponse{.bytes_ = "HTTP/1.1 200 OK\r\n", .afterResponse_ = AfterResponse::Close},
                                             ScriptedResponse{.lateBytes_ = DaemonFixture::matchingResponse("late"), .lateDelay_ = Millis(600)}}) {
        KeptCaller caller(fixture);
        fixture.scriptedResponses_.push_back(response);
        caller.send(plainRequest("POST", "/w/1", "a", Millis(400)) + plainRequest("GET", "/r/1", "b"));
        BOOST_TEST(caller.awaitStatus() >= 502U);
        BOOST_TEST(caller.awaitStatus(3) == 200U);
        // A server that refused or broke off is used again after a while.
        caller.runFor(Millis(1500));
    }
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(a_request_behind_one_whose_response_is_cut_is_passed_on)
{
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    const std::string cut = longResponse(400000).substr(0, 200000);
    fixture.scriptedResponses_.push_back({.bytes_ = cut, .afterResponse_ = AfterResponse::Close});
    caller.send(plainRequest("GET", "/r/1", "a") + plainRequest("GET", "/r/1", "b"));
    BOOST_TEST(caller.awaitStatus() == 0U);
    caller.runFor(Millis(100));
    BOOST_TEST(!caller.isPassedOn("b"));
    BOOST_TEST(unansweredCount(fixture, UnansweredReason::ResponseCut) == 1U);
    BOOST_TEST(unansweredCount(fixture) == 1U);
}

BOOST_AUTO_TEST_CASE(a_response_without_a_body_or_length_ends_its_connection)
{
    const std::string fields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";
    DaemonFixture fixture;
    for (const std::size_t size : {std::size_t{0}, std::size_t{10}, std::size_t{65536}, std::size_t{65537}, std::size_t{300000}}) {
        KeptCaller caller(fixture);
        fixture.scriptedResponses_.push_back(
            {.bytes_ = "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + std::string(size, 'v'), .afterResponse_ = AfterResponse::Close});
        caller.send(plainRequest("GET", "/r/1", "a" + std::to_string(size)));
        BOOST_TEST(caller.awaitStatus() == 200U, size);
        BOOST_TEST(caller.responses().at(1).body().size() == size);
        BOOST_TEST(caller.isUsableOrClosed("b" + std::to_string(size)));
    }
    for (const char *status : {"204 None", "304 Same"}) {
        KeptCaller caller(fixture);
        fixture.scriptedResponses_.push_back({.bytes_ = std::string("HTTP/1.1 ") + status + "\r\n" + fields + "\r\n"});
        caller.send(plainRequest("GET", "/r/1", std::string("c") + status[0]));
        BOOST_TEST(caller.awaitStatus() / 100 == static_cast<unsigned>(status[0] - '0'));
        BOOST_TEST(caller.isUsableOrClosed(std::string("d") + status[0]));
    }
    KeptCaller caller(fixture);
    fixture.scriptedResponses_.push_back({.bytes_ = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 400000\r\n\r\n"});
    caller.send(plainRequest("HEAD", "/r/1", "e"));
    BOOST_TEST(caller.runUntil([&]() { return caller.responses(2).size() == 2; }));
    caller.send(plainRequest("GET", "/r/1", "f"));
    BOOST_TEST(caller.runUntil([&]() { return caller.responses(2).size() == 3; }));
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(a_response_at_the_time_limit_is_neither_whole_nor_a_failure)
{
    constexpr int Rounds = 11;
    DaemonFixture fixture;
    std::size_t whole = 0;
    std::size_t failed = 0;
    // The servers respond from 10 ms before to 10 ms after the limit of their requests.
    for (int round = 0; round < Rounds; ++round) {
        std::deque<KeptCaller> callers;
        for (const std::size_t size : {10U, 60000U}) {
            callers.emplace_back(fixture);
            const std::string id = "a" + std::to_string(round) + "s" + std::to_string(size);
            fixture.responsesById_[id] = {.lateBytes_ = longResponse(size), .lateDelay_ = Millis(190 + 2 * round)};
            callers.back().send(plainRequest("POST", "/w/1", id, Millis(200)));
        }
        runUntil(fixture, callers, [&]() { return areAllDone(callers); });
        for (KeptCaller &caller : callers) {
            const unsigned status = caller.awaitStatus();
            whole += status == 200U ? 1 : 0;
            failed += status == 504U || status == 503U ? 1 : 0;
            BOOST_TEST((status == 0U || caller.isUsableOrClosed("b" + std::to_string(round))));
        }
    }
    BOOST_TEST(whole > 0U);
    BOOST_TEST(failed > 0U);
    BOOST_TEST(whole + failed == 2U * Rounds);
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(a_short_response_to_a_caller_that_pauses_reading_is_cut_at_the_time_limit)
{
    DaemonFixture fixture;
    KeptCaller caller(fixture, 4096);
    fixture.scriptedResponses_.push_back({.lateBytes_ = longResponse(60000), .lateDelay_ = RouteTimeout - Millis(200)});
    caller.send(plainRequest("GET", "/r/1", "a", Millis(5000)));
    caller.setReading(false);
    caller.runFor(RouteTimeout + Millis(500));
    caller.setReading(true);
    BOOST_TEST(caller.awaitStatus() == 200U);
    BOOST_TEST(caller.isUsableOrClosed("b"));
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(requests_are_lost_while_no_descriptor_is_free)
{
    DaemonFixture fixture;
    std::deque<KeptCaller> callers;
    for (int number = 0; number < 40; ++number) {
        callers.emplace_back(fixture);
    }
    rlimit limit{};
    BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const rlimit before = limit;
    const int nextDescriptor = dup(0);
    ::close(nextDescriptor);
    limit.rlim_cur = static_cast<rlim_t>(nextDescriptor);
    BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    for (std::size_t index = 0; index < callers.size(); ++index) {
        callers[index].send(plainRequest(index % 2 == 0 ? "GET" : "POST", index % 2 == 0 ? "/r/1" : "/w/1", "a" + std::to_string(index)));
    }
    runUntil(fixture, callers, [&]() { return areAllDone(callers); });
    setrlimit(RLIMIT_NOFILE, &before);
    std::size_t answered = 0;
    for (KeptCaller &caller : callers) {
        answered += caller.awaitStatus() >= 200U ? 1 : 0;
    }
    BOOST_TEST(answered == callers.size());
    BOOST_TEST(unansweredText(fixture) == "");
}

// HTTP pipelining: requests that are sent before the responses to earlier ones, over real sockets.
#define BOOST_TEST_MODULE platform_pipelining
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Ids have four characters, so that a body "{id}" keeps its length when the backend server inserts the id.
std::string requestBytes(const std::string &method, const std::string &target, const std::string &id, const std::string &fields = {},
                         const std::string &body = {})
{
    const std::string length = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 1000\r\n" + fields + length + "\r\n" + body;
}

std::string getBytes(const std::string &id)
{
    return requestBytes("GET", "/r/" + id, id);
}

std::string postBytes(const std::string &id)
{
    return requestBytes("POST", "/w/" + id, id, {}, "order");
}

// A caller that sends without waiting for responses.
class PipeliningCaller
{
public:
    explicit PipeliningCaller(DaemonFixture &fixture)
        : fixture_(fixture)
        , socket_(fixture.context())
    {
        socket_.connect(toEndpoint<tcp>(fixture.callerAddress()));
        read();
    }

    // Sends bytes at once.
    void send(const std::string &bytes)
    {
        error_code ignored; // The daemon may have closed the connection.
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    // Waits until this number of responses is complete, or the timeout expires.
    bool awaitResponses(std::size_t count, Millis timeout = Millis(3000))
    {
        return fixture_.runUntil([&]() { return responses_.size() >= count; }, timeout);
    }

    // Waits until the daemon has closed the connection.
    bool awaitClose()
    {
        return fixture_.runUntil([&]() { return isClosed_; });
    }

    void disconnect()
    {
        socket_.close();
    }

    // Bodies of the successful responses, and statuses of the others, joined by spaces.
    [[nodiscard]] std::string summary() const
    {
        std::string text;
        for (const HttpResponse &response : responses_) {
            text += (text.empty() ? "" : " ") + (response.result_int() == 200U ? response.body() : std::to_string(response.result_int()));
        }
        return text;
    }

    [[nodiscard]] bool isClosed() const
    {
        return isClosed_;
    }

private:
    void read()
    {
        message_ = {};
        http::async_read(socket_, buffer_, message_, [this](const error_code &errorCode, std::size_t /*size*/) {
            isClosed_ = static_cast<bool>(errorCode);
            if (!errorCode) {
                responses_.push_back(std::move(message_));
                read();
            }
        });
    }

    DaemonFixture &fixture_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    HttpResponse message_;
    std::vector<HttpResponse> responses_;
    bool isClosed_ = false;
};

// A response that names its request in the body, sent after a delay.
ScriptedResponse responseAfter(Millis delay)
{
    ScriptedResponse response{DaemonFixture::matchingResponse("{id}")};
    response.bodyReadDelay_ = delay;
    return response;
}

// Number of calls that the daemon is serving.
std::size_t openCalls(DaemonFixture &fixture)
{
    return fixture.daemon().worldRunner().world().calls_.calls_.size();
}

// Ids of the requests that reached the backend server, joined by spaces.
std::string receivedIds(const DaemonFixture &fixture)
{
    std::string text;
    for (const ReceivedRequest &request : fixture.receivedRequests_) {
        text += (text.empty() ? "" : " ") + std::string(request.message_["Attempt-Id"]);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(safe_requests_run_beside_each_other_and_are_answered_in_order)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(300)), responseAfter(Millis(0)), responseAfter(Millis(100))};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + getBytes("id-2"));
    fixture.runFor(Millis(50));
    caller.send(getBytes("id-3"));
    fixture.runFor(Millis(150));
    BOOST_TEST(receivedIds(fixture) == "id-1 id-2 id-3");
    BOOST_TEST(caller.summary() == "");
    BOOST_TEST(caller.awaitResponses(3));
    BOOST_TEST(caller.summary() == "id-1 id-2 id-3");
    BOOST_TEST(!caller.isClosed());
}

BOOST_AUTO_TEST_CASE(a_head_that_arrives_in_pieces_starts_when_it_is_complete)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(400)), responseAfter(Millis(0))};
    PipeliningCaller caller(fixture);
    const std::string second = getBytes("id-2");
    caller.send(getBytes("id-1") + second.substr(0, 20));
    fixture.runFor(Millis(100));
    BOOST_TEST(receivedIds(fixture) == "id-1");
    caller.send(second.substr(20));
    fixture.runFor(Millis(100));
    BOOST_TEST(receivedIds(fixture) == "id-1 id-2");
    BOOST_TEST(caller.awaitResponses(2));
    BOOST_TEST(caller.summary() == "id-1 id-2");
}

BOOST_AUTO_TEST_CASE(a_request_that_must_not_run_twice_waits_for_earlier_ones_and_delays_later_ones)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(200)), responseAfter(Millis(200)), responseAfter(Millis(0))};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + postBytes("id-2") + getBytes("id-3"));
    fixture.runFor(Millis(150));
    BOOST_TEST(receivedIds(fixture) == "id-1");
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_.size() == 2; }));
    BOOST_TEST(caller.summary() == "id-1");
    fixture.runFor(Millis(150));
    BOOST_TEST(receivedIds(fixture) == "id-1 id-2");
    BOOST_TEST(caller.awaitResponses(3));
    BOOST_TEST(caller.summary() == "id-1 id-2 id-3");
}

BOOST_AUTO_TEST_CASE(the_number_of_requests_served_at_once_is_limited)
{
    constexpr std::size_t Requests = 40;
    DaemonFixture fixture;
    PipeliningCaller caller(fixture);
    std::string bytes;
    std::string expected;
    for (std::size_t number = 10; number < 10 + Requests; ++number) {
        const std::string id = "id" + std::to_string(number);
        bytes += getBytes(id);
        expected += (expected.empty() ? "" : " ") + id;
        fixture.scriptedResponses_.push_back(responseAfter(Millis(5)));
    }
    caller.send(bytes);
    std::size_t most = 0;
    fixture.runUntil([&]() {
        most = std::max(most, openCalls(fixture));
        return caller.awaitResponses(Requests, Millis(1));
    });
    BOOST_TEST(most > 1U);
    BOOST_TEST(most <= CallerLimits().maxPipelinedRequests_);
    BOOST_TEST(caller.summary() == expected);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_all_of_its_requests)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {ScriptedResponse{}, ScriptedResponse{}, ScriptedResponse{}};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + getBytes("id-2") + getBytes("id-3"));
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_.size() == 3; }));
    caller.disconnect();
    BOOST_TEST(fixture.runUntil([&]() { return openCalls(fixture) == 0; }, Millis(200)));
    const auto isCancelled = [](const ReceivedRequest &request) { return request.cancelled_; };
    BOOST_TEST(fixture.runUntil([&]() { return std::all_of(fixture.receivedRequests_.begin(), fixture.receivedRequests_.end(), isCancelled); }, Millis(300)));
}

// Guards against a disconnect that goes unnoticed because a request that has to wait lies unread before it.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_a_request_waits_cancels_the_earlier_one)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {ScriptedResponse{}};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + postBytes("id-2") + getBytes("id-3"));
    fixture.runFor(Millis(50));
    caller.disconnect();
    BOOST_TEST(fixture.runUntil([&]() { return openCalls(fixture) == 0; }, Millis(200)));
    fixture.runFor(Millis(200));
    BOOST_TEST(receivedIds(fixture) == "id-1");
}

BOOST_AUTO_TEST_CASE(a_request_without_a_response_does_not_cost_later_ones_theirs)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {ScriptedResponse{}, responseAfter(Millis(0)), {"garbage\r\n\r\n"}, {"garbage\r\n\r\n"}, responseAfter(Millis(0))};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + getBytes("id-2"));
    BOOST_TEST(caller.awaitResponses(2));
    BOOST_TEST(caller.summary() == "504 id-2");
    caller.send(getBytes("id-3"));
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_.size() >= 3; }));
    caller.send(getBytes("id-4"));
    BOOST_TEST(caller.awaitResponses(4));
    BOOST_TEST(caller.summary().substr(0, 9) == "504 id-2 ");
    BOOST_TEST(!caller.isClosed());
}

BOOST_AUTO_TEST_CASE(a_malformed_request_ends_the_connection_after_the_earlier_responses)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(150)), responseAfter(Millis(0))};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + requestBytes("GET", "/r/2", "id-2", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n") + getBytes("id-3"));
    BOOST_TEST(caller.awaitClose());
    BOOST_TEST(caller.summary() == "id-1 400");
    BOOST_TEST(receivedIds(fixture) == "id-1");
}

BOOST_AUTO_TEST_CASE(a_rejected_request_is_answered_in_its_turn)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(150)), responseAfter(Millis(0))};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + requestBytes("GET", "/none/2", "id-2") + getBytes("id-3"));
    BOOST_TEST(caller.awaitResponses(3));
    BOOST_TEST(caller.summary() == "id-1 404 id-3");
}

BOOST_AUTO_TEST_CASE(a_request_behind_the_last_one_of_a_connection_is_not_read)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(100)), responseAfter(Millis(0))};
    PipeliningCaller caller(fixture);
    caller.send(requestBytes("GET", "/r/1", "id-1", "Connection: close\r\n") + getBytes("id-2"));
    BOOST_TEST(caller.awaitClose());
    BOOST_TEST(caller.summary() == "id-1");
    BOOST_TEST(receivedIds(fixture) == "id-1");
}

// The response in progress announces the end of the connection; what is behind it counts as not read, so it must not run on.
BOOST_AUTO_TEST_CASE(a_shutdown_ends_a_pipeline_after_the_first_response)
{
    DaemonFixture fixture;
    fixture.scriptedResponses_ = {responseAfter(Millis(200)), ScriptedResponse{}};
    PipeliningCaller caller(fixture);
    caller.send(getBytes("id-1") + getBytes("id-2"));
    BOOST_TEST(fixture.runUntil([&]() { return fixture.receivedRequests_.size() == 2; }));
    fixture.daemon().worldRunner().post(ShutdownRequested{});
    caller.send(getBytes("id-3"));
    BOOST_TEST(caller.awaitClose());
    BOOST_TEST(caller.summary() == "id-1");
    BOOST_TEST(receivedIds(fixture) == "id-1 id-2");
    BOOST_TEST(openCalls(fixture) == 0U);
}

// Random requests, cut into random pieces that are sent at random times.
BOOST_AUTO_TEST_CASE(random_pipelines_are_answered_in_order)
{
    constexpr int Pipelines = 30;
    constexpr std::uint64_t Seed = 20261205;
    Random random(Seed);
    DaemonFixture fixture;
    for (int pipeline = 0; pipeline < Pipelines; ++pipeline) {
        std::string bytes;
        std::string expected;
        const std::size_t count = 1 + random.uniformBelow(9);
        fixture.scriptedResponses_.clear();
        for (std::size_t number = 0; number < count; ++number) {
            const std::string id = "i" + std::to_string(100 + static_cast<int>(random.uniformBelow(900)));
            bytes += random.uniformBelow(4) == 0 ? postBytes(id) : getBytes(id);
            expected += (expected.empty() ? "" : " ") + id;
            fixture.scriptedResponses_.push_back(responseAfter(Millis(static_cast<std::int64_t>(random.uniformBelow(12)))));
        }
        PipeliningCaller caller(fixture);
        while (!bytes.empty()) {
            const std::size_t size = std::min<std::size_t>(bytes.size(), 1 + random.uniformBelow(250));
            caller.send(bytes.substr(0, size));
            bytes.erase(0, size);
            fixture.runFor(Millis(static_cast<std::int64_t>(random.uniformBelow(6))));
        }
        BOOST_TEST(caller.awaitResponses(count), "pipeline " << pipeline);
        BOOST_TEST(caller.summary() == expected, "pipeline " << pipeline << ": " << caller.summary() << " instead of " << expected);
    }
}

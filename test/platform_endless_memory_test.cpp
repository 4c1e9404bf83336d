// Memory that a daemon takes at most while its backend server or the store sends bytes without end, on many connections at once.
#define BOOST_TEST_MODULE platform_endless_memory
#include "standin/open_callers.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// What a daemon may take in all, as docs/CAPACITY.md states it.
constexpr std::uint64_t MaxPeakBytes = std::uint64_t{64} << 20U;
// Requests that are answered at the same time.
constexpr int Connections = 60;

const std::string OkLine = "HTTP/1.1 200 OK\r\n";
const std::string MatchingFields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";
const std::string ChunkedField = "Transfer-Encoding: chunked\r\n";
const std::string HugeLengthField = "Content-Length: 4000000000000\r\n";
const std::string BodyPart(std::size_t{32} << 10U, 'x');
const std::string Chunk = "8000\r\n" + BodyPart + "\r\n";
const std::string Field = "X-Field: " + std::string(180, 'f') + "\r\n";

// A response that starts with `start` and goes on with `repeated` until the daemon closes the connection.
ScriptedResponse endless(const std::string &start, const std::string &repeated)
{
    ScriptedResponse response{start};
    response.repeatedBytes_ = repeated;
    return response;
}

// The highest resident memory that a process has had, in bytes.
std::uint64_t peakBytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoull(line.substr(line.find_first_of("0123456789"))) << 10U;
        }
    }
    return 0;
}

// Makes requests at the same time, each of which gets the response once all have arrived, and checks the memory of the daemon. Callers that are slow read
// nothing.
void checkPeak(const std::string &name, ScriptedResponse response, bool isSlow)
{
    response.earlyDelay_ = Millis(400);
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    fixture.slots_ = Connections;
    fixture.announce("ready", 2);
    fixture.runFor(Millis(100));
    // One response shows what the server states, so that the others are handed over together.
    fixture.request("GET", "/r/first");
    fixture.scriptedResponses_.assign(std::size_t{4} * Connections, response);
    OpenCallers callers(fixture);
    std::vector<std::unique_ptr<tcp::socket>> slowCallers;
    for (int number = 0; number < Connections; ++number) {
        if (!isSlow) {
            callers.send(number % 2 == 0 ? "GET" : "POST", number % 2 == 0 ? "/r/" : "/w/");
            continue;
        }
        slowCallers.push_back(std::make_unique<tcp::socket>(fixture.context()));
        slowCallers.back()->connect(toEndpoint<tcp>(fixture.callerAddress()));
        const std::string id = "slow" + std::to_string(number);
        const std::string request = "GET /r/" + id + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 1200\r\n\r\n";
        asio::write(*slowCallers.back(), asio::buffer(request));
    }
    fixture.runFor(Millis(2000));
    const std::uint64_t peak = peakBytes(fixture.process().id());
    BOOST_TEST(fixture.receivedRequests_.size() > static_cast<std::size_t>(Connections), name << ": " << fixture.receivedRequests_.size() << " requests");
    BOOST_TEST(peak > 0U);
    BOOST_TEST(peak < MaxPeakBytes, name << (isSlow ? ", slow callers" : "") << ": " << (peak >> 10U) << " KiB");
    BOOST_TEST_MESSAGE(name << (isSlow ? ", slow callers" : "") << ": peak of " << (peak >> 10U) << " KiB");
    BOOST_TEST(!fixture.process().hasExited(), name);
    fixture.runFor(Millis(1500));
}

} // namespace

// Guards against a daemon that keeps all bytes of responses without end.
BOOST_AUTO_TEST_CASE(endless_responses_take_little_memory)
{
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"no line end", endless("", BodyPart)},
        {"a field without end", endless(OkLine + MatchingFields + "X-Field: ", BodyPart)},
        {"fields without end", endless(OkLine + MatchingFields, Field)},
        {"a chunked body", endless(OkLine + MatchingFields + ChunkedField + "\r\n", Chunk)},
        {"a huge length", endless(OkLine + MatchingFields + HugeLengthField + "\r\n", BodyPart)},
        {"no length", endless(OkLine + MatchingFields + "\r\n", BodyPart)},
        {"a chunk extension", endless(OkLine + MatchingFields + ChunkedField + "\r\n5;name=", BodyPart)},
        {"trailer fields", endless(OkLine + MatchingFields + ChunkedField + "\r\n2\r\nno\r\n0\r\n", Field)},
        {"interim responses", endless("", "HTTP/1.1 100 Continue\r\n\r\n")},
        {"responses to earlier requests", endless("", OkLine + "Attempt-Id: earlier\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")},
        {"a refusal", endless("HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n" + ChunkedField + "\r\n", Chunk)},
        {"bytes after a response", endless(DaemonFixture::matchingResponse("own"), BodyPart)},
    };
    for (const auto &[name, response] : cases) {
        checkPeak(name, response, false);
    }
}

// Guards against a daemon that keeps what callers do not read.
BOOST_AUTO_TEST_CASE(endless_bodies_for_callers_that_do_not_read_take_little_memory)
{
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"a chunked body", endless(OkLine + MatchingFields + ChunkedField + "\r\n", Chunk)},
        {"a huge length", endless(OkLine + MatchingFields + HugeLengthField + "\r\n", BodyPart)},
        {"no length", endless(OkLine + MatchingFields + "\r\n", BodyPart)},
    };
    for (const auto &[name, response] : cases) {
        checkPeak(name, response, true);
    }
}

// Guards against a daemon that keeps what a health check gets.
BOOST_AUTO_TEST_CASE(endless_responses_to_health_checks_take_little_memory)
{
    const std::string fields = "Instance-Id: i-1\r\nServer-Load: 0,0,4,100\r\n";
    const std::vector<std::pair<std::string, ScriptedResponse>> cases{
        {"no line end", endless("", BodyPart)},
        {"fields", endless(OkLine + fields, Field)},
        {"a chunked body", endless(OkLine + fields + ChunkedField + "\r\n", Chunk)},
        {"a huge length", endless(OkLine + fields + HugeLengthField + "\r\n", BodyPart)},
    };
    for (const auto &[name, response] : cases) {
        DaemonFixture fixture(RADISHFORD_PROGRAM, 6, true, 20);
        fixture.responsesById_[""] = response;
        OpenCallers callers(fixture);
        callers.run("GET", "/r/", Millis(40), Millis(2500));
        const std::uint64_t peak = peakBytes(fixture.process().id());
        const auto isCheck = [](const ReceivedRequest &request) { return request.message_.target() == "/health"; };
        BOOST_TEST(std::count_if(fixture.receivedRequests_.begin(), fixture.receivedRequests_.end(), isCheck) > 0, name);
        BOOST_TEST(peak < MaxPeakBytes, name << ": " << (peak >> 10U) << " KiB");
        BOOST_TEST(!fixture.process().hasExited(), name);
        fixture.runFor(Millis(1500));
    }
}

// Guards against a daemon that keeps responses of the store that are far longer than any the store sends.
BOOST_AUTO_TEST_CASE(long_responses_of_the_store_take_little_memory)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM, 6, false);
    fixture.storePadding_ = std::size_t{40} << 20U;
    fixture.storeResponds_ = true;
    fixture.runFor(Millis(6000));
    const std::uint64_t peak = peakBytes(fixture.process().id());
    BOOST_TEST(peak < MaxPeakBytes, (peak >> 10U) << " KiB");
    BOOST_TEST(!fixture.process().hasExited());
}

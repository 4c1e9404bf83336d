// Uploads on kept connections whose call ends while their body is still being passed on, over real sockets.
#define BOOST_TEST_MODULE platform_ended_call
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// More than is buffered before a call starts, so that the rest is passed on while it arrives.
constexpr std::size_t StreamedBytes = std::size_t{1} << 20U;
// Part of such a body that is sent; the rest follows the response or never.
constexpr std::size_t FirstBytes = std::size_t{700} << 10U;
// The body ends within the buffer.
constexpr std::size_t BufferedBytes = std::size_t{400} << 10U;

// More than fits into the receive buffer of a caller that does not read.
constexpr std::size_t ResponseBytes = std::size_t{1} << 20U;

// Head of an upload.
std::string uploadHead(std::size_t size, Millis limit)
{
    return "POST /u/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: " + std::to_string(limit.count())
        + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

// How a request on a kept connection ended.
struct UploadEnd {
    // Zero without a complete response.
    unsigned status_ = 0;
    bool isReset_ = false;
};

// Sends a request on a new connection, then an upload of which the last part is held back, and waits for the response to the upload.
UploadEnd sendUpload(DaemonFixture &fixture, const ScriptedResponse &response, std::size_t size, std::size_t sent, Millis limit)
{
    Peer caller(fixture);
    caller.write("GET /r/first HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: first\r\nDeadline-Ms: 1200\r\n\r\n");
    BOOST_REQUIRE(fixture.runUntil([&]() { return caller.responses().size() == 1; }));
    fixture.scriptedResponses_.push_back(response);
    caller.write(uploadHead(size, limit) + std::string(sent, 'b'));
    fixture.runUntil([&]() { return caller.responses().size() == 2 || caller.received().ended_; });
    return UploadEnd{caller.responses().size() == 2 ? caller.responses()[1].result_int() : 0, caller.received().reset_};
}

// A response that is sent before the body is read.
ScriptedResponse early(const std::string &bytes)
{
    ScriptedResponse response;
    response.bytes_ = bytes;
    response.respondsBeforeBody_ = true;
    return response;
}

const std::string Refusal = "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_CASE(a_refusal_while_the_body_is_read_reaches_the_caller)
{
    DaemonFixture fixture;
    const UploadEnd end = sendUpload(fixture, early(Refusal), StreamedBytes, FirstBytes, Millis(2000));
    BOOST_TEST(end.status_ == 503U);
    BOOST_TEST(!end.isReset_);
}

BOOST_AUTO_TEST_CASE(an_early_response_is_whole_when_the_caller_goes_on_sending)
{
    DaemonFixture fixture;
    // The caller begins to read late, so that most of the response is still in the daemon's socket when the rest of the body arrives.
    Peer caller(fixture, fixture.callerAddress(), Millis(400));
    fixture.scriptedResponses_.push_back(early(DaemonFixture::matchingResponse(std::string(ResponseBytes, 'v'))));
    caller.write(uploadHead(StreamedBytes, Millis(2500)) + std::string(FirstBytes, 'b'));
    fixture.runFor(Millis(200));
    caller.write(std::string(StreamedBytes - FirstBytes, 'b'));
    BOOST_TEST(fixture.runUntil([&]() { return caller.responses().size() == 1; }));
    BOOST_TEST(!caller.received().reset_);
}

BOOST_AUTO_TEST_CASE(the_failure_at_the_time_limit_while_the_body_is_read_reaches_the_caller)
{
    DaemonFixture fixture;
    const UploadEnd end = sendUpload(fixture, ScriptedResponse{}, StreamedBytes, FirstBytes, Millis(600));
    BOOST_TEST(end.status_ == 504U);
}

BOOST_AUTO_TEST_CASE(a_refusal_of_a_buffered_upload_reaches_the_caller)
{
    DaemonFixture fixture;
    const UploadEnd end = sendUpload(fixture, early(Refusal), BufferedBytes, BufferedBytes, Millis(2000));
    BOOST_TEST(end.status_ == 503U);
}

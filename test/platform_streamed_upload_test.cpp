// Uploads on kept connections whose calls end while their bodies arrive, over real sockets.
#define BOOST_TEST_MODULE platform_streamed_upload
#include "standin/kept_connection.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Time limit in milliseconds of uploads that need not reach it.
constexpr int LongLimit = 3000;

// What the backend server does with an upload, and what its caller must receive.
struct UploadCase {
    std::string name_;
    ScriptedResponse response_;
    unsigned expectedStatus_ = 0;
};

// How a backend server can end the call of an upload.
std::vector<UploadCase> uploadCases()
{
    std::vector<UploadCase> cases;
    cases.push_back({"refused", {refusal()}, 503});
    cases.push_back({"closed", {"", "", AfterResponse::Close}, 502});
    cases.push_back({"reset", {"", "", AfterResponse::Reset}, 502});
    cases.push_back({"malformed", {"garbage\r\n\r\n"}, 502});
    cases.push_back({"answered", {DaemonFixture::matchingResponse(std::string(30000, 'v'))}, 200});
    cases.push_back({"too large", {"HTTP/1.1 413 Large\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno"}, 413});
    return cases;
}

} // namespace

// Guards against a caller without a response when its call ends before its body has arrived, or after it.
BOOST_AUTO_TEST_CASE(the_end_of_a_call_while_its_body_arrives_is_not_taken_for_the_end_of_the_caller)
{
    for (const UploadCase &row : uploadCases()) {
        for (const bool endsFirst : {true, false}) {
            DaemonFixture fixture;
            KeptConnection caller(fixture);
            ScriptedResponse response = row.response_;
            response.respondsBeforeBody_ = endsFirst;
            response.endsBeforeBody_ = endsFirst && response.afterResponse_ != AfterResponse::KeepOpen;
            fixture.scriptedResponses_.push_back(response);
            const std::size_t firstBytes = endsFirst ? FirstBytes : StreamedBytes;
            caller.write(requestHead("POST", "/u/1", "a1", LongLimit, StreamedBytes) + std::string(firstBytes, 'b'));
            const unsigned status = caller.awaitStatus();
            BOOST_TEST(status == row.expectedStatus_, row.name_ << (endsFirst ? " before" : " after") << " the body: status " << status);
        }
    }
}

// Guards against a connection that is closed at the time limit instead of reporting it, while the body still arrives.
BOOST_AUTO_TEST_CASE(the_time_limit_of_an_upload_that_still_arrives_is_reported)
{
    constexpr int ShortLimit = 600;
    DaemonFixture fixture;
    KeptConnection caller(fixture);
    caller.write(requestHead("POST", "/u/1", "a1", ShortLimit, StreamedBytes) + std::string(FirstBytes, 'b'));
    BOOST_TEST(caller.awaitStatus() == 504U);
}

// Guards against an early response that is destroyed by a reset, because the rest of the body arrives at a closed connection.
BOOST_AUTO_TEST_CASE(an_early_response_reaches_a_caller_that_first_sends_its_whole_body)
{
    DaemonFixture fixture;
    ScriptedResponse response{DaemonFixture::matchingResponse(std::string(30000, 'v'))};
    response.respondsBeforeBody_ = true;
    fixture.scriptedResponses_.push_back(response);
    tcp::socket socket(fixture.context());
    socket.connect(toEndpoint<tcp>(fixture.callerAddress()));
    asio::write(socket, asio::buffer(requestHead("POST", "/u/1", "a1", LongLimit, StreamedBytes) + std::string(FirstBytes, 'b')));
    fixture.runFor(Millis(200));
    error_code errorCode;
    const std::string rest(StreamedBytes - FirstBytes, 'b');
    asio::async_write(socket, asio::buffer(rest), [&](const error_code &result, std::size_t /*size*/) { errorCode = result; });
    fixture.runFor(Millis(200));
    BOOST_TEST((errorCode == error_code()), errorCode.message());
    beast::flat_buffer buffer;
    HttpResponse message;
    std::optional<error_code> read;
    http::async_read(socket, buffer, message, [&](const error_code &result, std::size_t /*size*/) { read = result; });
    BOOST_TEST(fixture.runUntil([&]() { return read.has_value(); }));
    BOOST_TEST((read == error_code()), read.value_or(error_code()).message());
    BOOST_TEST(message.body().size() == 30000U);
}

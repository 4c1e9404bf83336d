// Requests on kept connections that end without a complete answer though the caller is there, each by two events at one request.
#define BOOST_TEST_MODULE platform_kept_lost
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// What a backend server does with an upload whose body is still arriving, and the status that the caller is to see.
struct UploadEnd {
    const char *name_;
    ScriptedResponse response_;
    unsigned status_ = 0;
    // Time limit of the request.
    Millis limit_{3000};
};

// When the caller sends the rest of its body.
enum class RestSent : std::uint8_t {
    AfterEnd, // When the response has arrived.
    BesideEnd, // At the same moment as the server ends the call, in the given number of handlers before or after.
    WithoutPause, // At once, as fast as the daemon takes it.
};

// One way in which a caller sends its upload.
struct UploadWay {
    BodyFraming framing_ = BodyFraming::Length;
    RestSent rest_ = RestSent::AfterEnd;
    // True when the caller reads only once its whole body is written.
    bool readsLast_ = false;
    // Handlers of the daemon that run between the end of the call and the rest of the body.
    int handlers_ = 0;
};

// A response sent while the body arrives.
ScriptedResponse early(std::string bytes, Millis delay = Millis(20))
{
    return ScriptedResponse{.bytes_ = std::move(bytes), .respondsBeforeBody_ = true, .earlyDelay_ = delay};
}

// The same, and then the end of the connection.
ScriptedResponse earlyEnd(AfterResponse end)
{
    return ScriptedResponse{.afterResponse_ = end, .respondsBeforeBody_ = true, .earlyDelay_ = Millis(20), .endsBeforeBody_ = true};
}

// A text that names one way.
std::string describe(const UploadEnd &end, const UploadWay &way)
{
    return std::string(end.name_) + ", framing " + std::to_string(static_cast<int>(way.framing_)) + ", rest " + std::to_string(static_cast<int>(way.rest_))
        + (way.readsLast_ ? ", reads last" : "") + ", handlers " + std::to_string(way.handlers_);
}

// All ways of an upload: each framing, with the rest of the body before, beside and after the end of the call.
std::vector<UploadWay> uploadWays()
{
    std::vector<UploadWay> ways;
    for (const BodyFraming framing : {BodyFraming::Length, BodyFraming::Chunked, BodyFraming::Expect}) {
        for (const bool readsLast : {false, true}) {
            ways.push_back({framing, RestSent::WithoutPause, readsLast, 0});
            ways.push_back({framing, RestSent::BesideEnd, readsLast, 0});
        }
        ways.push_back({framing, RestSent::AfterEnd, false, 0});
    }
    for (int handlers = 1; handlers <= 40; handlers += 13) {
        ways.push_back({BodyFraming::Length, RestSent::BesideEnd, false, handlers});
    }
    return ways;
}

// Sends one upload on a kept connection. Returns whether the caller got the expected answer and a usable or properly closed connection.
bool isUploadAnswered(DaemonFixture &fixture, const UploadEnd &end, const UploadWay &way, const std::string &id)
{
    KeptCaller caller(fixture);
    BOOST_REQUIRE(caller.wasAnswered());
    fixture.scriptedResponses_.push_back(end.response_);
    const std::string body(StreamedBytes, 'b');
    const std::string rest = framedPart(way.framing_, body.substr(FirstBytes), true);
    caller.setReading(!way.readsLast_);
    caller.send(uploadHead(way.framing_, id, end.limit_, StreamedBytes) + framedPart(way.framing_, body.substr(0, FirstBytes), false));
    if (way.rest_ == RestSent::WithoutPause) {
        caller.send(rest);
    }
    if (!caller.awaitPassedOn(id)) {
        return false;
    }
    if (way.rest_ == RestSent::BesideEnd) {
        // The moment at which the server or the time limit ends the call.
        caller.runFor(end.status_ == 504 ? end.limit_ - Millis(20) : Millis(18));
        caller.runHandlers(way.handlers_);
        caller.send(rest);
    }
    if (way.rest_ == RestSent::AfterEnd) {
        caller.awaitStatus();
        caller.send(rest);
    }
    caller.awaitWritten();
    caller.setReading(true);
    const bool isAnswered = caller.awaitStatus() == end.status_;
    return isAnswered && caller.isUsableOrClosed(id + "next");
}

// Checks one end of the call in all ways, by the caller's view and by the count of unanswered requests.
void checkUploads(const UploadEnd &end)
{
    for (const UploadWay &way : uploadWays()) {
        // A daemon of its own, since a server that has failed is not used for a while.
        DaemonFixture fixture;
        BOOST_TEST(isUploadAnswered(fixture, end, way, "a1"), describe(end, way));
        BOOST_TEST(unansweredText(fixture) == "", describe(end, way));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(an_upload_that_is_refused_while_it_arrives_gets_no_answer)
{
    checkUploads({"refused", early(refusal()), 503});
}

BOOST_AUTO_TEST_CASE(an_upload_whose_server_closes_while_it_arrives_gets_no_answer)
{
    checkUploads({"closed", earlyEnd(AfterResponse::Close), 502});
}

BOOST_AUTO_TEST_CASE(an_upload_whose_server_resets_while_it_arrives_gets_no_answer)
{
    checkUploads({"reset", earlyEnd(AfterResponse::Reset), 502});
}

BOOST_AUTO_TEST_CASE(an_upload_with_a_malformed_response_while_it_arrives_gets_no_answer)
{
    checkUploads({"malformed", early("garbage\r\n\r\n"), 502});
}

BOOST_AUTO_TEST_CASE(an_upload_that_is_accepted_while_it_arrives_loses_its_answer)
{
    checkUploads({"early 200", early(DaemonFixture::matchingResponse("whole")), 200});
}

BOOST_AUTO_TEST_CASE(an_upload_that_is_rejected_for_good_while_it_arrives_loses_its_answer)
{
    checkUploads({"early 409", early("HTTP/1.1 409 No\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno"), 409});
}

BOOST_AUTO_TEST_CASE(an_upload_whose_time_is_over_while_it_arrives_gets_no_answer)
{
    // The server reads the body later than the time limit.
    checkUploads({"limit", ScriptedResponse{.bodyReadDelay_ = Millis(4000)}, 504, Millis(250)});
}

BOOST_AUTO_TEST_CASE(an_upload_that_grows_too_large_while_it_is_passed_on_gets_no_answer)
{
    // More than the desired state allows, without a length that would show it.
    constexpr std::size_t TooLarge = std::size_t{5} << 20U;
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    caller.send(uploadHead(BodyFraming::Chunked, "a1", Millis(3000), 0) + framedPart(BodyFraming::Chunked, std::string(TooLarge, 'b'), true));
    BOOST_TEST(caller.awaitStatus() == 502U);
    BOOST_TEST(unansweredText(fixture) == "");
}

BOOST_AUTO_TEST_CASE(an_upload_with_malformed_framing_while_it_is_passed_on_gets_no_answer)
{
    DaemonFixture fixture;
    KeptCaller caller(fixture);
    caller.send(uploadHead(BodyFraming::Chunked, "a1", Millis(3000), 0) + framedPart(BodyFraming::Chunked, std::string(FirstBytes, 'b'), false));
    BOOST_REQUIRE(caller.awaitPassedOn("a1"));
    caller.send("no size\r\n");
    BOOST_TEST(caller.awaitStatus() == 502U);
    BOOST_TEST(unansweredText(fixture) == "");
}

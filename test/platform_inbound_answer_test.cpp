// Kept connections of callers whose request meets two events at the inbound side: a course of the backend server, and a time limit or the end of the
// server's connection. Each caller gets one whole response, and the next request on its connection gets its own.
#define BOOST_TEST_MODULE platform_inbound_answer
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Time limit of the requests.
constexpr int LimitMs = 300;
// A response must arrive within this time.
constexpr Millis ResponseDue{LimitMs + 250};

const std::string OwnFields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";
const std::string Refusal = "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n";

// One request of a caller. All bodies are read before their calls start.
struct Request {
    std::string method_;
    std::string path_;
    std::size_t bodySize_ = 0;
};

const std::vector<Request> Requests{{"GET", "/r/", 0}, {"POST", "/w/", 2000}, {"POST", "/u/", 360000}};

std::string requestBytes(const Request &request, const std::string &id)
{
    return request.method_ + " " + request.path_ + id + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(LimitMs)
        + "\r\nContent-Length: " + std::to_string(request.bodySize_) + "\r\n\r\n" + std::string(request.bodySize_, 'b');
}

// A course of the backend server with a name for messages.
struct Course {
    std::string name_;
    ScriptedResponse response_;
};

// A response that is sent in two parts, with a pause between them.
ScriptedResponse inParts(const std::string &first, const std::string &second, Millis pause, AfterResponse end = AfterResponse::KeepOpen)
{
    ScriptedResponse response{first, second, end};
    response.lateDelay_ = pause;
    return response;
}

// A response that is sent before the body is read.
ScriptedResponse early(const std::string &bytes, AfterResponse end, Millis readDelay = Millis())
{
    ScriptedResponse response{bytes};
    response.respondsBeforeBody_ = true;
    response.bodyReadDelay_ = readDelay;
    response.endsBeforeBody_ = end != AfterResponse::KeepOpen;
    response.afterResponse_ = end;
    return response;
}

std::vector<Course> courses()
{
    const std::string whole = DaemonFixture::matchingResponse("seat");
    const std::string head = "HTTP/1.1 200 OK\r\n" + OwnFields;
    std::vector<Course> list{
        {"closed at once", {"", "", AfterResponse::Close}},
        {"interim, then closed", {"HTTP/1.1 100 Continue\r\n\r\n", "", AfterResponse::Close}},
        {"interim, then reset", {"HTTP/1.1 100 Continue\r\n\r\n", "", AfterResponse::Reset}},
        {"whole, then closed", {whole, "", AfterResponse::Close}},
        {"whole, then reset", {whole, "", AfterResponse::Reset}},
        {"whole, closed 1 ms later", inParts(whole, "\r\n", Millis(1), AfterResponse::Close)},
        {"without length, then closed", {head + "\r\nseat", "", AfterResponse::Close}},
        {"without length, then reset", {head + "\r\nseat", "", AfterResponse::Reset}},
        {"whole, twice", {whole + whole}},
        {"last response of the connection", {head + "Connection: close\r\nContent-Length: 4\r\n\r\nseat", "", AfterResponse::Close}},
        {"early, body unread, closed", early(whole, AfterResponse::Close, Millis(20))},
        {"early, body unread, reset", early(whole, AfterResponse::Reset, Millis(20))},
        {"early, closed at once", early(whole, AfterResponse::Close)},
        {"early, reset at once", early(whole, AfterResponse::Reset)},
        {"early, body read later", early(whole, AfterResponse::KeepOpen, Millis(60))},
        {"early refusal, body read later", early(Refusal + "Content-Length: 0\r\n\r\n", AfterResponse::KeepOpen, Millis(60))},
        {"early refusal, reset", early(Refusal + "Content-Length: 0\r\n\r\n", AfterResponse::Reset, Millis(20))},
        {"refusal whose body is late", inParts(Refusal + "Content-Length: 4\r\n\r\n", "full", Millis(80))},
        {"refusal whose body is just in time", inParts(Refusal + "Content-Length: 4\r\n\r\n", "full", Millis(49))},
        {"refusal that is cut", {Refusal + "Content-Length: 4\r\n\r\nfu", "", AfterResponse::Reset}},
        {"refusal, then a response", {Refusal + "Content-Length: 0\r\n\r\n" + whole}},
        {"wrong instance, then closed", {"HTTP/1.1 421 Other\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", "", AfterResponse::Close}},
        {"body never read", early("", AfterResponse::KeepOpen, Millis(600))},
    };
    for (int delay = LimitMs - 12; delay <= LimitMs + 12; delay += 3) {
        const std::string at = " at " + std::to_string(delay) + " ms";
        list.push_back({"whole" + at, inParts("", whole, Millis(delay))});
        list.push_back({"whole and reset" + at, inParts("", whole, Millis(delay), AfterResponse::Reset)});
        list.push_back({"rest of the body" + at, inParts(head + "Content-Length: 4\r\n\r\nse", "at", Millis(delay))});
        list.push_back({"closed" + at, inParts("", "\r\n", Millis(delay), AfterResponse::Close)});
        list.push_back({"own time-out" + at, inParts("", "HTTP/1.1 504 Late\r\n" + OwnFields + "Content-Length: 0\r\n\r\n", Millis(delay))});
    }
    return list;
}

// Sends three requests on one connection, the second one with the course, and checks that each gets one whole response of its own.
void checkCourse(DaemonFixture &fixture, const Request &request, const Course &course)
{
    static int sequence = 1;
    static int lastId = 0;
    const std::string name = request.path_ + ", " + course.name_;
    fixture.scriptedResponses_.clear();
    fixture.announce("ready", ++sequence);
    fixture.runFor(Millis(20));
    Peer caller(fixture);
    for (std::size_t number = 1; number <= 3; ++number) {
        const std::string id = "n" + std::to_string(++lastId);
        if (number == 2) {
            fixture.scriptedResponses_.push_back(course.response_);
        }
        caller.write(requestBytes(request, id));
        fixture.runUntil([&]() { return caller.responses().size() >= number || caller.received().ended_; }, ResponseDue);
        const std::vector<HttpResponse> responses = caller.responses();
        BOOST_TEST(!caller.received().ended_, name << ": the connection ended at request " << number);
        if (responses.size() != number) {
            BOOST_TEST(responses.size() == number, name << ": request " << number << " has no response");
            return;
        }
        const HttpResponse &response = responses[number - 1];
        BOOST_TEST((response.result_int() != 200U || response["Attempt-Id"] == id), name << ": request " << number << " got a response to another");
        BOOST_TEST((number != 1 || response.result_int() == 200U), name);
        fixture.announce("ready", ++sequence);
        fixture.runFor(Millis(5));
    }
}

} // namespace

// Guards against a kept connection that ends without a response, or carries one of another request, after any course of the backend server.
BOOST_AUTO_TEST_CASE(every_caller_on_a_kept_connection_gets_one_whole_response)
{
    for (const Request &request : Requests) {
        for (const Course &course : courses()) {
            DaemonFixture fixture;
            checkCourse(fixture, request, course);
        }
    }
}

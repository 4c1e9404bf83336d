// Backend servers that limit the requests that they take, over real sockets.
#define BOOST_TEST_MODULE platform_request_limit
#include "standin/open_callers.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// A notice of the only backend server from now on.
NoticeRecord limitNotice(double limit)
{
    return NoticeRecord{OpenCallers::Server, WorldRunner::now(), true, limit, false};
}

} // namespace

// Guards against a server that gets more requests than the limit that it states.
BOOST_AUTO_TEST_CASE(a_limited_server_gets_no_more_than_its_limit)
{
    for (const std::string &method : {std::string("GET"), std::string("POST")}) {
        DaemonFixture fixture;
        fixture.backendFields_ = "Server-Limit: 10\r\n";
        const std::vector<NoticeRecord> notices{limitNotice(10)};
        OpenCallers callers(fixture);
        callers.run(method, method == "GET" ? "/r/" : "/w/", Millis(16), Millis(7500));
        fixture.runFor(Millis(1500));
        const ServerNoticeRule rule(callers.observe(notices));
        for (const std::string &text : rule.violations()) {
            BOOST_ERROR(method << ": " << text);
        }
        // The limit is used: half of it at least.
        BOOST_TEST(callers.countStatus(200) > 37, method << ": " << callers.countStatus(200) << " answered");
        for (const OpenRequest &request : callers.requests_) {
            const bool isAnsweredOrRejected = request.status_ == 200 || request.status_ == 503;
            BOOST_TEST(isAnsweredOrRejected,
                       method << " " << request.id_ << ": " << request.status_ << " after " << (request.endedAt_ - request.sentAt_).count() << " ms");
        }
    }
}

// Guards against a limit that falls and counts only for later requests.
BOOST_AUTO_TEST_CASE(a_limit_that_falls_holds_for_the_last_seconds_as_a_whole)
{
    DaemonFixture fixture;
    OpenCallers callers(fixture);
    std::vector<NoticeRecord> notices{limitNotice(40)};
    fixture.backendFields_ = "Server-Limit: 40\r\n";
    callers.run("GET", "/r/", Millis(14), Millis(5000));
    notices.push_back(limitNotice(8));
    fixture.backendFields_ = "Server-Limit: 8\r\n";
    callers.run("GET", "/r/", Millis(14), Millis(5500));
    fixture.runFor(Millis(1500));
    for (const std::string &text : ServerNoticeRule(callers.observe(notices)).violations()) {
        BOOST_ERROR(text);
    }
}

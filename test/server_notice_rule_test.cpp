// The rules on request limits and leaving servers that soaks and tests apply, on requests written by hand.
#define BOOST_TEST_MODULE server_notice_rule
#include "standin/server_notice_rule.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Server "s" states a limit of 10 requests per second from 1 s on, and machine "one" passes on such a response at 1.1 s. Requests from "one" arrive
// every `interval` from 1.2 s to 12 s.
NoticeObservation limitedServer(Millis interval)
{
    NoticeObservation observation;
    observation.notices_.push_back(NoticeRecord{"s", Millis(1000), true, 10, false});
    observation.responses_.push_back(PassedOnResponse{"one", "s", Millis(1100), true, false});
    for (Millis at(1200); at < Millis(12000); at = at + interval) {
        observation.requests_.push_back(ArrivedRequest{"q" + std::to_string(at.count()), "one", "s", at, at});
    }
    return observation;
}

// Machine "one" passes on a response of the leaving server "s" at 1 s, and sends it a request at the given time.
NoticeObservation leavingServer(Millis sentAt)
{
    NoticeObservation observation;
    observation.responses_.push_back(PassedOnResponse{"one", "s", Millis(1000), false, true});
    observation.requests_.push_back(ArrivedRequest{"q", "one", "s", sentAt, sentAt + Millis(10)});
    return observation;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_server_may_get_one_and_a_half_times_its_limit_and_five_requests)
{
    // 65 requests in 4 s are allowed; these are 64 and 67.
    BOOST_TEST(ServerNoticeRule(limitedServer(Millis(63))).limitViolations().empty());
    BOOST_TEST(ServerNoticeRule(limitedServer(Millis(60))).limitViolations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(requests_count_over_all_machines_that_passed_on_the_limit)
{
    NoticeObservation observation = limitedServer(Millis(100));
    for (const ArrivedRequest &request : limitedServer(Millis(100)).requests_) {
        observation.requests_.push_back(request);
        observation.requests_.back().machine_ = "two";
    }
    BOOST_TEST(ServerNoticeRule(observation).limitViolations().empty());
    observation.responses_.push_back(PassedOnResponse{"two", "s", Millis(1100), true, false});
    BOOST_TEST(ServerNoticeRule(observation).limitViolations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_is_judged_before_the_stable_window_is_over)
{
    NoticeObservation observation = limitedServer(Millis(20));
    std::erase_if(observation.requests_, [](const ArrivedRequest &request) { return request.arrivedAt_ >= Millis(4000); });
    BOOST_TEST(ServerNoticeRule(observation).limitViolations().empty());
}

BOOST_AUTO_TEST_CASE(restarts_freezes_and_cuts_excuse_a_machine_from_the_limit)
{
    for (const bool isCut : {false, true}) {
        NoticeObservation observation = limitedServer(Millis(50));
        observation.excuses_.push_back(ExcuseRecord{"one", Millis(1150), isCut});
        BOOST_TEST(ServerNoticeRule(observation).limitViolations().empty());
        observation.responses_.push_back(PassedOnResponse{"one", "s", Millis(5000), true, false});
        BOOST_TEST(ServerNoticeRule(observation).limitViolations().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_limit_that_falls_counts_and_one_that_ends_does_not)
{
    NoticeObservation observation = limitedServer(Millis(100));
    observation.notices_.push_back(NoticeRecord{"s", Millis(8000), true, 4, false});
    BOOST_TEST(ServerNoticeRule(observation).limitViolations().size() == 1U);
    observation.notices_.back().hasLimit_ = false;
    BOOST_TEST(ServerNoticeRule(observation).limitViolations().empty());
}

BOOST_AUTO_TEST_CASE(a_request_sent_in_the_drain_time_may_reach_a_leaving_server)
{
    BOOST_TEST(ServerNoticeRule(leavingServer(Millis(3000))).leavingViolations().empty());
    BOOST_TEST(ServerNoticeRule(leavingServer(Millis(3001))).leavingViolations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(restarts_and_freezes_excuse_a_machine_from_a_leaving_server_and_cuts_do_not)
{
    for (const bool isCut : {false, true}) {
        NoticeObservation observation = leavingServer(Millis(5000));
        observation.excuses_.push_back(ExcuseRecord{"one", Millis(2000), isCut});
        BOOST_TEST(ServerNoticeRule(observation).leavingViolations().size() == (isCut ? 1U : 0U));
    }
    NoticeObservation observation = leavingServer(Millis(5000));
    observation.requests_.front().machine_ = "two";
    BOOST_TEST(ServerNoticeRule(observation).leavingViolations().empty());
    observation = leavingServer(Millis(5000));
    observation.requests_.front().isForOther_ = true;
    BOOST_TEST(ServerNoticeRule(observation).leavingViolations().empty());
}

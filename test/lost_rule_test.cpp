// The rule on lost requests that soaks and tests apply, on requests written by hand.
#define BOOST_TEST_MODULE lost_rule
#include "standin/lost_rule.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// A request on a kept connection that was passed on and ended without a response.
ObservedRequest closedRequest(Millis sentAt, Millis endedAt)
{
    ObservedRequest request;
    request.id_ = "a" + std::to_string(sentAt.count());
    request.daemon_ = "one";
    request.isOnKeptConnection_ = true;
    request.sentAt_ = sentAt;
    request.endedAt_ = endedAt;
    request.limitAt_ = sentAt + Millis(3000);
    request.end_ = RequestEnd::Closed;
    request.isPassedOn_ = true;
    return request;
}

// A rule in which daemon "one" gets SIGTERM at 10 s.
LostRule ruleWithStop()
{
    return LostRule(LostRuleBounds{}, {DisturbanceRecord{"one", Disturbance::Terminated, Millis(10000)}});
}

} // namespace

BOOST_AUTO_TEST_CASE(more_than_three_requests_lost_on_kept_connections_break_the_rule)
{
    const LostRule rule(LostRuleBounds{}, {});
    std::vector<ObservedRequest> requests;
    for (int number = 0; number < 4; ++number) {
        BOOST_TEST(rule.violations(requests).empty(), requests.size());
        requests.push_back(closedRequest(Millis(1000) * number, Millis(1000) * number + Millis(100)));
    }
    BOOST_TEST(rule.violations(requests).size() == 1U);
}

BOOST_AUTO_TEST_CASE(what_does_not_count_on_kept_connections)
{
    const LostRule rule = ruleWithStop();
    ObservedRequest request = closedRequest(Millis(1000), Millis(1100));
    BOOST_TEST(rule.isLostOnKeptConnection(request));
    request.isOnKeptConnection_ = false;
    BOOST_TEST(!rule.isLostOnKeptConnection(request));
    request = closedRequest(Millis(1000), Millis(1100));
    request.isPassedOn_ = false;
    BOOST_TEST(!rule.isLostOnKeptConnection(request));
    request = closedRequest(Millis(1000), Millis(1100));
    request.serverBrokeOff_ = true;
    BOOST_TEST(!rule.isLostOnKeptConnection(request));
    for (const RequestEnd end : {RequestEnd::Answered, RequestEnd::CallerLeft, RequestEnd::TimedOut}) {
        request = closedRequest(Millis(1000), Millis(1100));
        request.end_ = end;
        BOOST_TEST(!rule.isLostOnKeptConnection(request));
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_is_in_touch_again_three_seconds_after_the_signal)
{
    const LostRule rule = ruleWithStop();
    BOOST_TEST(rule.isLostOnKeptConnection(closedRequest(Millis(9000), Millis(9999))));
    BOOST_TEST(!rule.isLostOnKeptConnection(closedRequest(Millis(9000), Millis(10000))));
    BOOST_TEST(!rule.isLostOnKeptConnection(closedRequest(Millis(12000), Millis(12999))));
    BOOST_TEST(rule.isLostOnKeptConnection(closedRequest(Millis(12000), Millis(13000))));
}

BOOST_AUTO_TEST_CASE(a_single_request_lost_around_a_stop_breaks_the_rule)
{
    const LostRule rule = ruleWithStop();
    BOOST_TEST(rule.violations({closedRequest(Millis(11000), Millis(11500))}).size() == 1U);
    // Sent too late after the signal to be excused at the end of the grace period.
    ObservedRequest incident = closedRequest(Millis(13573), Millis(15921));
    incident.runStartedAt_ = Millis(13861);
    incident.runEndedAt_ = Millis(16068);
    BOOST_TEST(rule.isLostAtPlannedWork(incident));
    incident.sentAt_ = Millis(13000);
    BOOST_TEST(!rule.isLostAtPlannedWork(incident));
    BOOST_TEST(!rule.isLostAtPlannedWork(closedRequest(Millis(16500), Millis(17001))));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_passed_on_counts_after_the_slack)
{
    const LostRule rule = ruleWithStop();
    ObservedRequest request = closedRequest(Millis(11000), Millis(11200));
    request.isPassedOn_ = false;
    BOOST_TEST(!rule.isLostAtPlannedWork(request));
    request.endedAt_ = Millis(11201);
    BOOST_TEST(rule.isLostAtPlannedWork(request));
    request.sentAt_ = Millis::never();
    BOOST_TEST(!rule.isLostAtPlannedWork(request));
}

BOOST_AUTO_TEST_CASE(an_answer_in_place_of_a_running_request_counts_after_the_signal)
{
    const LostRule rule = ruleWithStop();
    ObservedRequest request = closedRequest(Millis(11000), Millis(11500));
    request.end_ = RequestEnd::Answered;
    request.isOwnAnswer_ = true;
    BOOST_TEST(!rule.isLostAtPlannedWork(request));
    request.runStartedAt_ = Millis(11100);
    BOOST_TEST(rule.isLostAtPlannedWork(request));
    request.runEndedAt_ = Millis(11400);
    BOOST_TEST(!rule.isLostAtPlannedWork(request));
    request.runEndedAt_ = Millis::never();
    request.limitAt_ = Millis(11500);
    BOOST_TEST(!rule.isLostAtPlannedWork(request));
}

BOOST_AUTO_TEST_CASE(a_kill_excuses_the_requests_around_it)
{
    const LostRule rule(LostRuleBounds{}, {{"one", Disturbance::Terminated, Millis(10000)}, {"one", Disturbance::Killed, Millis(12000)}});
    BOOST_TEST(rule.isLostAtPlannedWork(closedRequest(Millis(11000), Millis(11500))));
    BOOST_TEST(!rule.isLostAtPlannedWork(closedRequest(Millis(11000), Millis(12000))));
    BOOST_TEST(!rule.isLostAtPlannedWork(closedRequest(Millis(14900), Millis(15100))));
}

BOOST_AUTO_TEST_CASE(a_request_cut_by_a_reload_counts)
{
    const LostRule rule(LostRuleBounds{}, {{"one", Disturbance::Reloaded, Millis(10000)}});
    BOOST_TEST(rule.isLostAtPlannedWork(closedRequest(Millis(12000), Millis(12500))));
    BOOST_TEST(!rule.isLostAtPlannedWork(closedRequest(Millis(12001), Millis(12500))));
    BOOST_TEST(!rule.isLostAtPlannedWork(closedRequest(Millis(9000), Millis(9999))));
}

BOOST_AUTO_TEST_CASE(requests_lost_beside_changes_count_by_their_frequency)
{
    const LostRule rule(LostRuleBounds{}, {}, {ChangeRecord{Millis(10000), Millis(10010)}});
    std::vector<ObservedRequest> requests;
    for (int number = 0; number < 100; ++number) {
        requests.push_back(closedRequest(Millis(1000 + number), Millis(1200 + number)));
        requests.back().end_ = RequestEnd::Answered;
        requests.push_back(closedRequest(Millis(10100 + number), Millis(10300 + number)));
        requests.back().end_ = RequestEnd::Answered;
    }
    BOOST_TEST(!rule.isBrokenByChanges(requests));
    requests.push_back(closedRequest(Millis(2000), Millis(2100)));
    for (int number = 0; number < 3; ++number) {
        requests.push_back(closedRequest(Millis(10500 + number), Millis(10600 + number)));
        BOOST_TEST(!rule.isBrokenByChanges(requests), number);
    }
    requests.push_back(closedRequest(Millis(10600), Millis(10700)));
    BOOST_TEST(rule.isBrokenByChanges(requests));
}

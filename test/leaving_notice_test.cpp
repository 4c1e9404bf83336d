// Backend servers that state in their responses that they leave, also across restarts of daemons and servers.
#define BOOST_TEST_MODULE leaving_notice
#include "fake/limited_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 6;
constexpr Millis CallInterval{10};

// Reports all violations of the rules.
void checkRules(const LimitedFleet &limited, const std::string &name)
{
    for (const std::string &text : limited.violations()) {
        BOOST_ERROR(name << ": " << text);
    }
}

// A fleet in which the backend server of instance 0 has stated that it leaves, while its announcements say that it is ready.
void startWithLeavingServer(LimitedFleet &limited)
{
    limited.callFor(Millis(1000), CallInterval);
    limited.setLeaving(0);
    limited.callFor(Millis(1000), CallInterval);
}

} // namespace

// Guards against requests to a server that has stated that it leaves, while its announcements say that it is ready.
BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_requests)
{
    LimitedFleet limited(Instances);
    startWithLeavingServer(limited);
    const Millis since = limited.fleet_.now();
    limited.callFor(Millis(5000), CallInterval);
    BOOST_TEST(limited.countHandOvers(0, since) == 0);
    checkRules(limited, "leaving");
}

// Guards against a daemon that starts beside a leaving server and passes on requests from other daemons, which have not been restarted. Without health checks
// the other daemons tell it.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_beside_a_leaving_server_passes_on_no_request)
{
    for (const bool hasChecks : {true, false}) {
        for (const bool isRestartFirst : {false, true}) {
            LimitedFleet limited(Instances);
            limited.fleet_.ignoresChecks_ = [hasChecks](std::size_t) { return !hasChecks; };
            if (isRestartFirst) {
                limited.restart(0);
            }
            startWithLeavingServer(limited);
            limited.callFor(Millis(2000), CallInterval);
            const Millis since = limited.fleet_.now();
            limited.restart(0);
            // Without health checks, calls of its own would find out by a request.
            limited.callFor(Millis(5000), CallInterval, 1);
            checkRules(limited, hasChecks ? "health checks" : "no health checks");
            BOOST_TEST(limited.countHandOvers(0, since) == 0);
        }
    }
}

// Guards against a server that has deregistered and gets requests again once its daemon has restarted, since its announcements arrive late or go on.
BOOST_AUTO_TEST_CASE(a_deregistered_server_gets_no_requests_after_a_restart_of_its_daemon)
{
    for (const Millis restartAfter : {Millis(20), Millis(2000)}) {
        for (const Millis announcedAfter : {Millis(), Millis(3000)}) {
            LimitedFleet limited(Instances);
            limited.callFor(Millis(1000), CallInterval);
            limited.fleet_.post(0, BackendDeregistered{limited.fleet_.backendIdOf(0)});
            limited.callFor(restartAfter, CallInterval);
            limited.fleet_.instances_[0].sendsAnnouncements_ = announcedAfter == Millis();
            const Millis since = limited.fleet_.now();
            limited.restart(0);
            limited.callFor(announcedAfter, CallInterval);
            limited.fleet_.instances_[0].sendsAnnouncements_ = true;
            limited.callFor(Millis(8000), CallInterval);
            BOOST_TEST(limited.countHandOvers(0, since) == 0, restartAfter.count() << " ms, " << announcedAfter.count() << " ms");
            // Another start of the server is used.
            limited.fleet_.failBackend(0, Millis(200));
            limited.callFor(Millis(3000), CallInterval);
            BOOST_TEST(limited.countHandOvers(0, since) > 0);
        }
    }
}

// Guards against a start that is known from no response, after the loss of all daemons.
BOOST_AUTO_TEST_CASE(a_leaving_server_is_known_before_the_first_request_after_the_loss_of_all_daemons)
{
    LimitedFleet limited(Instances);
    startWithLeavingServer(limited);
    limited.fleet_.runFor(Millis(1500));
    for (std::size_t index = 0; index < Instances; ++index) {
        limited.fleet_.kill(index);
    }
    const Millis since = limited.fleet_.now();
    for (std::size_t index = 0; index < Instances; ++index) {
        limited.fleet_.start(index);
    }
    limited.callFor(Millis(6000), CallInterval);
    BOOST_TEST(limited.countHandOvers(0, since) == 0);
    BOOST_TEST(limited.countHandOvers(1, since) > 0);
}

// Guards against a notice that outlives its server: another one at the same address gets requests, though daemons know that the earlier one left.
BOOST_AUTO_TEST_CASE(a_new_server_at_the_address_of_one_that_left_gets_requests)
{
    for (const bool isRestarted : {false, true}) {
        LimitedFleet limited(Instances);
        startWithLeavingServer(limited);
        const BackendStart left{limited.fleet_.backendIdOf(0), limited.fleet_.world(0).admissions_.backend_.incarnation_};
        if (isRestarted) {
            limited.restart(0);
        }
        limited.fleet_.failBackend(0, Millis(500));
        limited.fleet_.runFor(Millis(3000));
        const Millis since = limited.fleet_.now();
        limited.callFor(Millis(2000), CallInterval);
        BOOST_TEST(limited.countHandOvers(0, since) > 20);
        // A late response of the earlier server.
        BackendNotice notice;
        notice.isLeaving_ = true;
        notice.limit_ = RequestRate(0);
        limited.fleet_.post(0, BackendStated{left, since, limited.fleet_.now(), notice});
        const Millis later = limited.fleet_.now();
        limited.callFor(Millis(2000), CallInterval);
        BOOST_TEST(limited.countHandOvers(0, later) > 20);
        checkRules(limited, "reused address");
    }
}

// Guards against a limit and a leaving notice of one server that hide each other.
BOOST_AUTO_TEST_CASE(a_server_may_limit_its_requests_and_leave_in_any_order)
{
    for (const bool isLimitFirst : {true, false}) {
        LimitedFleet limited(Instances);
        limited.callFor(Millis(1000), CallInterval);
        if (isLimitFirst) {
            limited.setLimit(0, 5);
            limited.callFor(Millis(2000), CallInterval);
            limited.setLeaving(0);
        } else {
            limited.setLeaving(0);
            limited.callFor(Millis(1000), CallInterval);
            limited.setLimit(0, 5);
        }
        limited.callFor(Millis(1500), CallInterval);
        const Millis since = limited.fleet_.now();
        limited.callFor(Millis(5000), CallInterval);
        BOOST_TEST(limited.countHandOvers(0, since) == 0);
        checkRules(limited, isLimitFirst ? "limit first" : "leaving first");
    }
}

// Backend servers that limit their requests, also across restarts of daemons and changes of the limit.
#define BOOST_TEST_MODULE request_limit
#include "fake/limited_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 6;
// About four times what the limited servers of the tests take together.
constexpr Millis CallInterval{5};

// Reports all violations of the rules.
void checkRules(const LimitedFleet &limited, const std::string &name)
{
    for (const std::string &text : limited.violations()) {
        BOOST_ERROR(name << ": " << text);
    }
}

// The statement of a limit by the current start of a server.
BackendStated stated(LimitedFleet &limited, std::optional<double> limit, Millis askedAt, Millis statedAt)
{
    const LocalBackend &backend = limited.fleet_.world(0).admissions_.backend_;
    BackendStated event{BackendStart{backend.id_, backend.incarnation_}, askedAt, statedAt, {}};
    event.notice_.limit_ = limit ? std::optional(RequestRate(*limit)) : std::nullopt;
    return event;
}

// The limit that a daemon keeps; negative when there is none.
double keptLimit(LimitedFleet &limited)
{
    const std::optional<RequestRate> &rate = limited.fleet_.world(0).admissions_.limit_.rate_;
    return rate ? rate->value() : -1;
}

// Limits all servers to the same rate and lets all daemons hear of it.
void limitAll(LimitedFleet &limited, double limit)
{
    for (std::size_t index = 0; index < limited.fleet_.size(); ++index) {
        limited.setLimit(index, limit);
    }
    limited.callFor(Millis(4000), CallInterval);
}

} // namespace

// Guards against more requests than a limit allows, over all daemons, with retries and hedges.
BOOST_AUTO_TEST_CASE(a_limit_holds_over_all_daemons)
{
    for (const double limit : {0.5, 3.0, 12.0}) {
        LimitedFleet limited(Instances);
        limited.callFor(Millis(1000), CallInterval);
        limitAll(limited, limit);
        const Millis since = limited.fleet_.now();
        limited.callFor(Millis(8000), CallInterval);
        checkRules(limited, std::to_string(limit));
        for (std::size_t index = 0; index < Instances; ++index) {
            // All of the limit is used, but for a request that is under way.
            BOOST_TEST(static_cast<double>(limited.countHandOvers(index, since)) >= 0.9 * 8 * limit - 1, limit);
        }
    }
}

// Guards against requests that are not counted because the server refuses them.
BOOST_AUTO_TEST_CASE(refused_requests_count_against_a_limit)
{
    LimitedFleet limited(Instances);
    limited.fleet_.refuses_ = [](std::size_t index) { return index < 2; };
    limitAll(limited, 10);
    limited.callFor(Millis(6000), CallInterval);
    checkRules(limited, "refusals");
}

// Guards against a restart of the daemon beside a limited server that allows it a fresh burst, with the restart and the statement in both orders.
BOOST_AUTO_TEST_CASE(a_limit_holds_across_a_restart_of_the_daemon_beside_the_server)
{
    for (const Millis before : {Millis(0), Millis(500), Millis(5000)}) {
        for (const bool isLimitFirst : {true, false}) {
            LimitedFleet limited(Instances);
            limited.callFor(Millis(1000), CallInterval);
            if (isLimitFirst) {
                limited.setLimit(0, 8);
                limited.callFor(before, CallInterval);
                limited.restart(0);
            } else {
                limited.restart(0);
                limited.callFor(before, CallInterval);
                limited.setLimit(0, 8);
            }
            limited.callFor(Millis(3000), CallInterval);
            limited.restart(0, Millis(100));
            limited.callFor(Millis(8000), CallInterval);
            checkRules(limited, std::to_string(before.count()) + (isLimitFirst ? " ms, limit first" : " ms, restart first"));
        }
    }
}

// Guards against requests that are not counted when a limit ends, the daemon beside the server restarts, and the limit is stated again.
BOOST_AUTO_TEST_CASE(requests_before_a_limit_that_is_stated_again_after_a_restart_count)
{
    for (const Millis unlimited : {Millis(500), Millis(1500), Millis(3000)}) {
        LimitedFleet limited(2);
        limitAll(limited, 2);
        limitAll(limited, -1);
        limited.restart(0);
        const Millis restartedAt = limited.fleet_.now();
        // More than the other server takes.
        limited.callFor(unlimited, Millis(2), 1);
        limited.setLimit(0, 2);
        limited.callFor(Millis(6000), Millis(2), 1);
        BOOST_TEST(limited.countHandOvers(0, restartedAt) > 20);
        checkRules(limited, std::to_string(unlimited.count()) + " ms");
    }
}

// Guards against a daemon that hands over requests before it knows whether its server limits them, after the loss of all daemons.
BOOST_AUTO_TEST_CASE(a_limit_is_known_before_the_first_request_after_the_loss_of_all_daemons)
{
    for (const bool hasChecks : {true, false}) {
        LimitedFleet limited(Instances);
        limited.fleet_.ignoresChecks_ = [hasChecks](std::size_t) { return !hasChecks; };
        limitAll(limited, 4);
        for (std::size_t index = 0; index < Instances; ++index) {
            limited.fleet_.kill(index);
        }
        limited.fleet_.runFor(Millis(200));
        const Millis since = limited.fleet_.now();
        for (std::size_t index = 0; index < Instances; ++index) {
            limited.fleet_.start(index);
        }
        limited.callFor(Millis(6000), CallInterval);
        for (std::size_t index = 0; index < Instances; ++index) {
            // One request may find out about the limit when no health check does; then there is a burst of one second at most.
            BOOST_TEST(limited.countHandOvers(index, since) <= 4 * 6 + 4 + (hasChecks ? 0 : 1));
            BOOST_TEST(limited.countHandOvers(index, since) > 0);
        }
    }
}

// Guards against a limit that counts only for requests after it has changed.
BOOST_AUTO_TEST_CASE(a_limit_that_falls_rises_ends_or_starts_again_holds)
{
    LimitedFleet limited(Instances);
    for (const double limit : {30.0, 6.0, 20.0, -1.0, 10.0, 2.0, -1.0, 0.5}) {
        for (std::size_t index = 0; index < Instances; ++index) {
            limited.setLimit(index, limit);
        }
        limited.callFor(Millis(5000), CallInterval);
        BOOST_TEST(keptLimit(limited) == limit);
    }
    checkRules(limited, "changes");
}

// Guards against a late response that brings back an older limit.
BOOST_AUTO_TEST_CASE(a_late_response_does_not_change_a_limit)
{
    LimitedFleet limited(1);
    const Millis now = limited.fleet_.now();
    limited.fleet_.post(0, stated(limited, 40, now, now + Millis(10)));
    BOOST_TEST(keptLimit(limited) == 40);
    limited.fleet_.post(0, stated(limited, 10, now, now + Millis(20)));
    BOOST_TEST(keptLimit(limited) == 10);
    // Written after the limit fell, but to a request from before.
    limited.fleet_.post(0, stated(limited, 40, now + Millis(5), now + Millis(30)));
    limited.fleet_.post(0, stated(limited, std::nullopt, now + Millis(5), now + Millis(30)));
    BOOST_TEST(keptLimit(limited) == 10);
    // The head began to arrive before the one that stated the current limit.
    limited.fleet_.post(0, stated(limited, 5, now, now + Millis(15)));
    BOOST_TEST(keptLimit(limited) == 10);
    limited.fleet_.post(0, stated(limited, std::nullopt, now + Millis(25), now + Millis(40)));
    BOOST_TEST(keptLimit(limited) == -1);
    limited.fleet_.post(0, stated(limited, 10, now + Millis(22), now + Millis(35)));
    BOOST_TEST(keptLimit(limited) == -1);
}

// Guards against a limit of zero that is never asked for again, and one that stays in force after a restart of the server.
BOOST_AUTO_TEST_CASE(a_limit_of_zero_stops_requests_until_it_ends)
{
    LimitedFleet limited(Instances);
    limitAll(limited, 0);
    const Millis since = limited.fleet_.now();
    limited.callFor(Millis(3000), CallInterval);
    BOOST_TEST(limited.countHandOvers(0, since) == 0);
    limited.setLimit(0, -1);
    limited.fleet_.failBackend(1, Millis(200));
    limited.fleet_.runFor(Millis(2500));
    const std::vector<std::size_t> numbers = limited.callFor(Millis(1000), Millis(50));
    limited.fleet_.runFor(Millis(500));
    BOOST_TEST(limited.countAnswered(numbers) == 20);
    BOOST_TEST(limited.countHandOvers(1, since) > 0);
}

// Guards against requests that are rejected without a trace in the log, and against a line for each of them.
BOOST_AUTO_TEST_CASE(a_limit_that_is_used_up_is_logged_once)
{
    LimitedFleet limited(1);
    int lines = 0;
    limited.fleet_.effectObserver_ = [&](std::size_t /*index*/, const Effect &effect) {
        const auto *change = std::get_if<LogStateChange>(&effect);
        lines += change != nullptr && change->text_.find("is used up") != std::string::npos ? 1 : 0;
    };
    limitAll(limited, 4);
    BOOST_TEST(lines == 1);
    limited.fleet_.runFor(Millis(7000));
    limited.callFor(Millis(2000), CallInterval);
    BOOST_TEST(lines == 2);
}

// Guards against offers that wait at limited servers while others are free.
BOOST_AUTO_TEST_CASE(calls_go_to_servers_without_a_limit)
{
    LimitedFleet limited(Instances);
    for (std::size_t index = 0; index < Instances - 2; ++index) {
        limited.setLimit(index, 2);
    }
    limited.callFor(Millis(2000), CallInterval);
    const std::vector<std::size_t> numbers = limited.callFor(Millis(4000), CallInterval);
    limited.fleet_.runFor(Millis(2000));
    BOOST_TEST(limited.countAnswered(numbers) == static_cast<std::ptrdiff_t>(numbers.size()));
    Millis longest;
    for (const std::size_t number : numbers) {
        longest = std::max(longest, limited.fleet_.results_[number].endedAt_ - limited.fleet_.results_[number].startedAt_);
    }
    BOOST_TEST((longest < Millis(300)), longest.count() << " ms");
    checkRules(limited, "others free");
}

// Guards against a limit that is used up by less urgent requests, and against calls that wait although they cannot be served in time.
BOOST_AUTO_TEST_CASE(a_limit_serves_urgent_calls_first_and_the_others_are_rejected_early)
{
    LimitedFleet limited(Instances);
    std::vector<Millis> retryAfter;
    limitAll(limited, 10);
    const auto observe = limited.fleet_.effectObserver_;
    limited.fleet_.effectObserver_ = [&](std::size_t index, const Effect &effect) {
        observe(index, effect);
        if (const auto *failed = std::get_if<FailCall>(&effect)) {
            retryAfter.push_back(failed->retryAfter_);
        }
    };
    std::array<std::int64_t, 2> answered{};
    std::array<std::int64_t, 2> held{};
    const std::vector<std::size_t> numbers = limited.callFor(Millis(6000), Millis(9));
    limited.fleet_.runFor(Millis(2000));
    for (std::size_t position = 0; position < numbers.size(); ++position) {
        const CallResult &result = limited.fleet_.results_[numbers[position]];
        // Calls with an odd position are writes, which are more urgent.
        answered.at(position % 2) += result.responseToken_ ? 1 : 0;
        held.at(position % 2) += result.failure_ && result.endedAt_ - result.startedAt_ > Millis(600) ? 1 : 0;
    }
    const auto half = static_cast<std::int64_t>(numbers.size() / 2);
    BOOST_TEST(answered[1] * 100 >= half * 95, answered[1] << " of " << half << " urgent calls answered, " << answered[0] << " others");
    BOOST_TEST(answered[0] < half / 2);
    BOOST_TEST(held[0] * 20 <= half, held[0] << " of " << half << " calls rejected after more than half of their time");
    const std::set<std::int64_t> distinct = [&]() {
        std::set<std::int64_t> values;
        for (const Millis delay : retryAfter) {
            values.insert(delay.count());
        }
        return values;
    }();
    BOOST_TEST(distinct.size() > 20U, "the retry delays of " << retryAfter.size() << " rejected calls are spread");
}

// Guards against a call of a running request that waits behind new work of the same priority.
BOOST_AUTO_TEST_CASE(calls_of_running_requests_come_first)
{
    LimitedFleet limited(1);
    limited.setLimit(0, 10);
    for (int number = 0; number < 60; ++number) {
        limited.call(0, true);
        limited.fleet_.runFor(Millis(50));
    }
    std::vector<std::size_t> numbers;
    for (int number = 0; number < 40; ++number) {
        FakeCall call = routedCall("nested" + std::to_string(number), true);
        call.isFromBackend_ = number >= 30;
        numbers.push_back(limited.fleet_.call(0, call));
    }
    limited.fleet_.runFor(Millis(2000));
    BOOST_TEST(limited.countAnswered({numbers.begin() + 30, numbers.end()}) >= 9);
}

// Configuration: a ticket becomes active on all daemons within 16 seconds and is never reverted, despite store faults, partitions,
// restarts and concurrent operators.
#define BOOST_TEST_MODULE config
#include "fake/fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 12;
// Required maximum time until a change is active on all daemons.
constexpr Millis MaxActivationTime{16000};

// Creates a ticket with the standard objects. Its number appears in the measurement budget, so that versions can be distinguished.
Ticket makeTicket(std::uint64_t number, const std::string &submission)
{
    return standardTicket(number, submission);
}

// Runs the fleet until all daemons have joined and ticket 1 is active.
void joinAndActivateTicket(FakeFleet &fleet)
{
    fleet.runFor(Millis(5000));
    fleet.submit(0, makeTicket(1, "one"));
    fleet.runFor(MaxActivationTime);
    BOOST_REQUIRE(fleet.allUseTicket(1));
}

// Result code of a submission, which must have a result.
ResultCode submissionResult(const FakeFleet &fleet, std::size_t submission)
{
    BOOST_REQUIRE(fleet.ticketResults_[submission].has_value());
    return fleet.ticketResults_[submission]->code_;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_accepted_ticket_spreads_with_the_store_down_and_heartbeats_lost)
{
    FakeFleet fleet(Instances, 3);
    joinAndActivateTicket(fleet);
    fleet.datagramFaultPermille_ = 300;
    const std::size_t submission = fleet.submit(4, makeTicket(2, "two"));
    while (!fleet.ticketResults_[submission]) {
        fleet.runFor(Millis(1));
    }
    fleet.store_.down_ = true;
    BOOST_TEST((submissionResult(fleet, submission) == ResultCode::Ok));
    fleet.runFor(MaxActivationTime);
    BOOST_TEST(fleet.allUseTicket(2));
}

BOOST_AUTO_TEST_CASE(an_accepted_ticket_reaches_every_failure_domain_with_the_store_down_and_all_heartbeats_lost)
{
    FakeFleet fleet(Instances, 9);
    joinAndActivateTicket(fleet);
    fleet.datagramFaultPermille_ = 1000;
    const std::size_t submission = fleet.submit(4, makeTicket(2, "two"));
    while (!fleet.ticketResults_[submission]) {
        fleet.runFor(Millis(1));
    }
    fleet.store_.down_ = true;
    fleet.runFor(MaxActivationTime);
    constexpr std::size_t Domains = 6;
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        const auto first = fleet.world(domain).tickets_.highestTicket_;
        const auto second = fleet.world(domain + Domains).tickets_.highestTicket_;
        BOOST_TEST((std::max(first, second) == TicketNumber(2)));
    }
}

BOOST_AUTO_TEST_CASE(a_pushed_ticket_that_leaves_a_gap_does_not_hide_the_tickets_between)
{
    FakeFleet fleet(1, 10);
    fleet.runFor(Millis(5000));
    fleet.submit(0, makeTicket(1, "one"));
    fleet.runFor(Millis(2000));
    TicketBatch batch;
    batch.after_ = TicketNumber(4);
    batch.highestTicket_ = TicketNumber(5);
    batch.objects_ = {TicketObject{"i9", TicketNumber(5), DrainSpec{true}}};
    fleet.post(0, TicketBatchArrived{Address{9, 9}, true, batch});
    BOOST_TEST((fleet.world(0).tickets_.highestTicket_ == TicketNumber(1)));
    BOOST_TEST((fleet.world(0).tickets_.highestSeen_ == TicketNumber(5)));
    BOOST_TEST(fleet.world(0).tickets_.objects_.size() == 3U);
}

BOOST_AUTO_TEST_CASE(of_two_concurrent_operators_one_succeeds_and_the_other_receives_the_conflicting_ticket)
{
    FakeFleet fleet(Instances, 4);
    joinAndActivateTicket(fleet);
    const std::size_t first = fleet.submit(1, makeTicket(2, "mine"));
    const std::size_t second = fleet.submit(8, makeTicket(2, "theirs"));
    fleet.runFor(MaxActivationTime);
    const int accepted = (submissionResult(fleet, first) == ResultCode::Ok ? 1 : 0) + (submissionResult(fleet, second) == ResultCode::Ok ? 1 : 0);
    BOOST_TEST(accepted == 1);
    const std::size_t loser = submissionResult(fleet, first) == ResultCode::Ok ? second : first;
    BOOST_TEST((submissionResult(fleet, loser) == ResultCode::TicketConflict));
    BOOST_TEST(fleet.ticketResults_[loser]->conflictingTicket_.size() == 1U);
    BOOST_TEST(fleet.allUseTicket(2));
}

BOOST_AUTO_TEST_CASE(a_submission_whose_response_was_lost_is_confirmed_by_reading_back)
{
    FakeFleet fleet(Instances, 5);
    joinAndActivateTicket(fleet);
    fleet.store_.losesResponses_ = true;
    const std::size_t submission = fleet.submit(2, makeTicket(2, "lost"));
    fleet.runFor(Millis(2000));
    BOOST_TEST(fleet.store_.tickets_.contains(2));
    fleet.store_.losesResponses_ = false;
    fleet.runFor(MaxActivationTime);
    BOOST_TEST((submissionResult(fleet, submission) == ResultCode::Ok));
    BOOST_TEST(fleet.allUseTicket(2));
}

BOOST_AUTO_TEST_CASE(a_repeated_submission_through_another_daemon_is_the_same_ticket)
{
    FakeFleet fleet(Instances, 6);
    joinAndActivateTicket(fleet);
    fleet.submit(2, makeTicket(2, "same"));
    fleet.runFor(MaxActivationTime);
    const std::size_t again = fleet.submit(7, makeTicket(2, "same"));
    fleet.runFor(MaxActivationTime);
    BOOST_TEST((submissionResult(fleet, again) == ResultCode::Ok));
    BOOST_TEST(fleet.store_.tickets_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_restarted_daemon_refuses_calls_until_it_knows_the_configuration)
{
    FakeFleet fleet(Instances, 7);
    joinAndActivateTicket(fleet);
    fleet.store_.down_ = true;
    fleet.kill(3);
    for (std::size_t other = 0; other < Instances; ++other) {
        if (other != 3) {
            fleet.setPartitioned(3, other, true);
        }
    }
    fleet.start(3);
    fleet.runFor(Millis(20000));
    BOOST_TEST(!fleet.world(3).tickets_.isCurrent_);
    const std::size_t call = fleet.call(3, FakeCall{.token_ = "t", .action_ = "a"});
    fleet.runFor(Millis(100));
    BOOST_TEST((fleet.results_[call].failure_ == ResultCode::NotReady));
    for (std::size_t other = 0; other < Instances; ++other) {
        fleet.setPartitioned(3, other, false);
    }
    // The store is still down, so the daemon can get the configuration from peers only.
    fleet.runFor(MaxActivationTime);
    BOOST_TEST(fleet.world(3).tickets_.isCurrent_);
    BOOST_TEST(fleet.allUseTicket(1));
}

BOOST_AUTO_TEST_CASE(a_stale_read_of_the_store_does_not_let_a_lone_restarted_daemon_serve_an_old_ticket)
{
    FakeFleet fleet(1, 8);
    fleet.runFor(Millis(5000));
    fleet.submit(0, makeTicket(1, "one"));
    fleet.runFor(Millis(3000));
    fleet.submit(0, makeTicket(2, "two"));
    fleet.runFor(Millis(3000));
    fleet.store_.lastReadableTicket_ = 1;
    fleet.kill(0);
    fleet.start(0);
    for (int step = 0; step < 1000; ++step) {
        fleet.runFor(Millis(10));
        const TicketTable &tickets = fleet.world(0).tickets_;
        BOOST_REQUIRE((!tickets.isCurrent_ || tickets.highestTicket_ == TicketNumber(2)));
    }
    BOOST_TEST(fleet.world(0).tickets_.isCurrent_);
}

// The ticket number that a daemon applies never decreases, for any order of restarts, partitions, lost store responses and stale reads.
RC_BOOST_PROP(configuration_never_reverts, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    FakeFleet fleet(6, seed);
    fleet.delayedMessagePermille_ = 50;
    fleet.datagramFaultPermille_ = 50;
    std::vector<std::uint64_t> lastApplied(6, 0);
    const auto checkNeverLower = [&]() {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.instances_[index].world_ && fleet.world(index).tickets_.isCurrent_) {
                const std::uint64_t highest = fleet.world(index).tickets_.highestTicket_.value();
                RC_ASSERT(highest >= lastApplied[index]);
                lastApplied[index] = highest;
            }
        }
    };
    fleet.runFor(Millis(5000));
    Random random(seed);
    for (const int step : steps) {
        const std::size_t target = random.uniformBelow(6);
        const std::size_t other = random.uniformBelow(6);
        switch (step) {
        case 0:
            fleet.kill(target);
            fleet.start(target);
            break;
        case 1:
            fleet.setPartitioned(target, other, true);
            fleet.at(fleet.now() + Millis(6000), [&fleet, target, other]() { fleet.setPartitioned(target, other, false); });
            break;
        case 2:
            fleet.store_.lastReadableTicket_ = fleet.store_.tickets_.empty() ? 0 : fleet.store_.tickets_.rbegin()->first;
            break;
        case 3:
            fleet.store_.losesResponses_ = !fleet.store_.losesResponses_;
            break;
        default: {
            const std::uint64_t next = fleet.world(target).tickets_.highestTicket_.value() + 1;
            fleet.submit(target, makeTicket(next, std::to_string(random.bits64())));
        }
        }
        for (int slice = 0; slice < 15; ++slice) {
            fleet.runFor(Millis(100));
            checkNeverLower();
        }
    }
    fleet.store_.losesResponses_ = false;
    fleet.store_.lastReadableTicket_ = ~std::uint64_t{0};
    for (int slice = 0; slice < 160; ++slice) {
        fleet.runFor(Millis(100));
        checkNeverLower();
    }
    RC_ASSERT(fleet.allUseTicket(fleet.store_.tickets_.size()));
}

// Merging objects in any order and any number of times keeps the object with the highest number, as a naive merge does.
RC_BOOST_PROP(ticket_merge_equals_naive_merge, ())
{
    using Entry = std::pair<int, int>;
    const auto entries = *rc::gen::container<std::vector<Entry>>(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 9)));
    FakeFleet fleet(1, 1);
    std::map<int, int> naive;
    for (const auto &[name, number] : entries) {
        applyObject(fleet.world(0), TicketObject{std::to_string(name), TicketNumber(static_cast<std::uint64_t>(number)), DrainSpec{number % 2 == 0}});
        naive[name] = std::max(naive[name], number);
    }
    RC_ASSERT(fleet.world(0).tickets_.objects_.size() == naive.size());
    for (const auto &[key, object] : fleet.world(0).tickets_.objects_) {
        const int expected = naive.at(std::stoi(key.name_));
        RC_ASSERT(object.number_.value() == static_cast<std::uint64_t>(expected));
        RC_ASSERT(std::get<DrainSpec>(object.spec_).isDraining_ == (expected % 2 == 0));
    }
}

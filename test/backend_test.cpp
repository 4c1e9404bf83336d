// Binding of a daemon to its backend server: starts, late announcements, deregistrations, announcements for other addresses, and other
// servers at the address.
#define BOOST_TEST_MODULE backend
#include "call/suspect_func.h"
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

#include <iterator>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// One daemon whose backend server is announced only by the test.
struct BackendFixture {
    FakeFleet fleet_{1, 21, routedSettings()};

    BackendFixture()
    {
        fleet_.instances_[0].sendsAnnouncements_ = false;
        startRoutedFleet(fleet_);
    }

    // Announces a backend server.
    void announce(const char *id, std::uint64_t start, std::uint64_t sequence, BackendState state = BackendState::Ready, const char *service = "booking")
    {
        BackendAnnounced event;
        event.service_ = ServiceName(service);
        event.address_ = fleet_.instances_[0].settings_.backendAddress_;
        event.slots_ = Slots(4);
        event.state_ = state;
        event.incarnation_ = Incarnation(start);
        event.id_ = BackendId(id);
        event.sequence_ = sequence;
        fleet_.instances_[0].backendId_ = event.id_;
        fleet_.post(0, event);
    }

    // Offers a request of a service to the daemon. Its body follows only when the test sends it.
    void offer(ExchangeHandle exchange, bool isBodyInline)
    {
        Offer offer;
        offer.attempt_ = exchange.value();
        offer.service_ = ServiceName("booking");
        offer.class_ = ClassName("write");
        offer.remaining_ = Millis(1000);
        offer.sentAt_ = fleet_.now();
        offer.routed_ = true;
        offer.isBodyInline_ = isBodyInline;
        fleet_.post(0, OfferArrived{exchange, offer});
    }

    [[nodiscard]] BackendState state()
    {
        return fleet_.world(0).admissions_.backend_.state_;
    }

    [[nodiscard]] std::string id()
    {
        return fleet_.world(0).admissions_.backend_.id_.value();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_undo_a_drain)
{
    BackendFixture fixture;
    fixture.announce("a", 5000000, 7);
    fixture.announce("a", 5000000, 9, BackendState::Draining);
    fixture.announce("a", 5000000, 8);
    BOOST_TEST((fixture.state() == BackendState::Draining));
}

BOOST_AUTO_TEST_CASE(a_deregistration_ends_only_with_a_new_start)
{
    BackendFixture fixture;
    fixture.announce("a", 5000000, 7);
    fixture.fleet_.post(0, BackendDeregistered{BackendId("a")});
    BOOST_TEST((fixture.state() == BackendState::Draining));
    fixture.announce("a", 5000000, 8);
    BOOST_TEST((fixture.state() == BackendState::Draining));
    fixture.announce("a", 6000000, 1);
    BOOST_TEST((fixture.state() == BackendState::Ready));
}

// Failure seen on ppc-mesh (scale-2, seed 554661197628): a daemon acknowledged a deregistration just after its own restart, and a late
// announcement made the server ready again.
BOOST_AUTO_TEST_CASE(a_restarted_daemon_keeps_a_deregistration)
{
    BackendFixture fixture;
    fixture.fleet_.post(0, BackendDeregistered{BackendId("a")});
    fixture.fleet_.runFor(Millis(2200));
    fixture.announce("a", 5000000, 7);
    BOOST_TEST((fixture.state() == BackendState::Draining));
    fixture.announce("b", 6000000, 1);
    BOOST_TEST((fixture.state() == BackendState::Ready));
}

BOOST_AUTO_TEST_CASE(an_announcement_of_an_earlier_start_is_ignored)
{
    BackendFixture fixture;
    fixture.announce("old", 5000000, 40);
    fixture.announce("new", 6000000, 1);
    fixture.announce("old", 5000000, 41);
    BOOST_TEST(fixture.id() == "new");
}

BOOST_AUTO_TEST_CASE(an_announcement_for_another_address_is_ignored)
{
    BackendFixture fixture;
    BackendAnnounced foreign;
    foreign.service_ = ServiceName("booking");
    foreign.address_ = Address{1, 2};
    foreign.slots_ = Slots(4);
    foreign.state_ = BackendState::Ready;
    foreign.incarnation_ = Incarnation(7000000);
    foreign.id_ = BackendId("foreign");
    foreign.sequence_ = 1;
    fixture.fleet_.post(0, foreign);
    BOOST_TEST(fixture.id() != "foreign");
}

BOOST_AUTO_TEST_CASE(another_server_at_the_address_clears_the_binding_at_once)
{
    BackendFixture fixture;
    fixture.announce("a", 5000000, 1);
    fixture.fleet_.instances_[0].serviceTime_ = Millis(1000);
    fixture.fleet_.call(0, routedCall("one", false));
    fixture.fleet_.runFor(Millis(100));
    const auto &rows = fixture.fleet_.world(0).admissions_.byExchange_;
    BOOST_REQUIRE(rows.size() == 1U);
    fixture.fleet_.post(0, BackendFailed{rows.begin()->first, BackendFault::WrongInstance, {}});
    BOOST_TEST((fixture.state() == BackendState::Absent));
    // A late announcement of the same start does not restore the binding.
    fixture.announce("a", 5000000, 1);
    BOOST_TEST((fixture.state() == BackendState::Absent));
}

// A result of a request to an earlier server at the address made the server that had replaced it absent until its next announcement.
BOOST_AUTO_TEST_CASE(a_result_of_an_earlier_server_does_not_clear_the_binding_of_the_next_one)
{
    for (const BackendFault fault : {BackendFault::WrongInstance, BackendFault::Unreachable}) {
        BackendFixture fixture;
        fixture.announce("a", 5000000, 1);
        fixture.fleet_.instances_[0].serviceTime_ = Millis(1000);
        fixture.fleet_.call(0, routedCall("one", false));
        fixture.fleet_.runFor(Millis(100));
        const auto &rows = fixture.fleet_.world(0).admissions_.byExchange_;
        BOOST_REQUIRE(rows.size() == 1U);
        fixture.announce("b", 6000000, 1);
        BOOST_REQUIRE((fixture.state() == BackendState::Ready));
        fixture.fleet_.post(0, BackendFailed{rows.begin()->first, fault, {}});
        BOOST_TEST((fixture.state() == BackendState::Ready));
    }
}

BOOST_AUTO_TEST_CASE(an_announcement_that_is_not_repeated_expires)
{
    BackendFixture fixture;
    fixture.announce("a", 5000000, 1);
    fixture.fleet_.runFor(routedSettings().announcementLease_ + Millis(1500));
    BOOST_TEST((fixture.state() == BackendState::Absent));
}

// Guards against a crash that is taken for a lost response, because a health check that began before it still found the server running.
BOOST_AUTO_TEST_CASE(a_check_that_began_before_a_failure_does_not_decide_it)
{
    WorldSettings settings = routedSettings();
    settings.backendChecksPerSecond_ = 60;
    FakeFleet fleet(1, 22, settings);
    startRoutedFleet(fleet);
    fleet.instances_[0].serviceTime_ = Millis(5000);
    fleet.call(0, routedCall("one", false));
    fleet.call(0, routedCall("two", false));
    fleet.runFor(Millis(100));
    const World &world = fleet.world(0);
    BOOST_REQUIRE(world.admissions_.byExchange_.size() == 2U);
    const auto [lost, lostRow] = *world.admissions_.byExchange_.begin();
    const auto [crash, crashRow] = *std::next(world.admissions_.byExchange_.begin());
    const Fingerprint fingerprint = world.admissions_.rows_.get(crashRow)->offer_.fingerprint_;
    fleet.post(0, BackendFailed{lost, BackendFault::ConnectionClosed, {}});
    BOOST_REQUIRE(world.admissions_.checks_.running_);
    fleet.instances_[0].backendRuns_ = false;
    fleet.post(0, BackendFailed{crash, BackendFault::ConnectionClosed, {}});
    fleet.runFor(Millis(500));
    BOOST_TEST(isSuspect(world, fingerprint));
}

// Guards against a request that waits while its server is replaced, and is then run by the successor at the address (review/6).
BOOST_AUTO_TEST_CASE(a_request_runs_only_on_the_start_for_which_it_was_accepted)
{
    struct Wait {
        const char *description_;
        bool isBodyInline_;
        bool isCheckLost_;
    };
    struct Successor {
        const char *id_;
        const char *service_;
    };
    constexpr ExchangeHandle Exchange(900);
    for (const Wait &wait : {Wait{"confirmation", false, false}, Wait{"body", true, false}, Wait{"health check", false, true}}) {
        for (const Successor &successor : {Successor{"b", "billing"}, Successor{"b", "booking"}, Successor{"a", "booking"}}) {
            BackendFixture fixture;
            fixture.announce("a", 5000000, 1);
            fixture.fleet_.ignoresChecks_ = [&](std::size_t) { return wait.isCheckLost_; };
            int handOvers = 0;
            std::vector<std::uint16_t> failures;
            fixture.fleet_.effectObserver_ = [&](std::size_t, const Effect &effect) {
                handOvers += std::holds_alternative<HandOver>(effect) ? 1 : 0;
                if (const auto *failure = std::get_if<FailExchange>(&effect)) {
                    failures.push_back(failure->reply_.code_);
                }
            };
            fixture.offer(Exchange, wait.isBodyInline_);
            fixture.fleet_.runFor(Millis(30));
            fixture.announce(successor.id_, 6000000, 1, BackendState::Ready, successor.service_);
            fixture.fleet_.post(0, ConfirmationArrived{Exchange});
            fixture.fleet_.post(0, BodyArrived{Exchange});
            fixture.fleet_.runFor(Millis(100));
            const std::string name = std::string(wait.description_) + ", then " + successor.id_ + " of " + successor.service_;
            BOOST_TEST(handOvers == 0, name);
            BOOST_REQUIRE_MESSAGE(failures.size() == 1U, name);
            BOOST_TEST(provesNotRun(static_cast<ResultCode>(failures.front())), name);
        }
    }
}

// Guards against an order for a server that has ended, although a health check was answered by another one at its address (review/6).
BOOST_AUTO_TEST_CASE(a_health_check_that_another_server_answers_clears_the_binding)
{
    BackendFixture fixture;
    fixture.announce("a", 5000000, 1);
    fixture.fleet_.instances_[0].backendId_ = BackendId("b");
    fixture.offer(ExchangeHandle(901), true);
    fixture.fleet_.post(0, BodyArrived{ExchangeHandle(901)});
    fixture.fleet_.runFor(Millis(100));
    BOOST_TEST((fixture.state() == BackendState::Absent));
    BOOST_TEST(fixture.fleet_.instances_[0].handOverTimes_.empty());
}

// Guards against a health check of an earlier start whose late answer makes the next server absent, or tells its speed.
BOOST_AUTO_TEST_CASE(a_check_of_an_earlier_start_tells_nothing_about_the_next_one)
{
    BackendFixture fixture;
    fixture.announce("a", 5000000, 1);
    fixture.offer(ExchangeHandle(902), true);
    fixture.announce("b", 6000000, 1);
    fixture.fleet_.post(0, BackendChecked{fixture.fleet_.world(0).admissions_.checks_.number_, true, BackendId("a"), {{}, {}, {}, Percent(400)}});
    BOOST_TEST((fixture.state() == BackendState::Ready));
    BOOST_TEST((fixture.fleet_.world(0).admissions_.backend_.slownessAt_ == Millis()));
}

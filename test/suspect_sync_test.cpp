// Requests that crash backend servers in a routed deployment: what daemons know of them reaches those that were away, outlives the loss of all, and leaves
// harmless requests alone.
#define BOOST_TEST_MODULE suspect_sync
#include "call/suspect_func.h"
#include "call/suspect_merge_func.h"
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <functional>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 6;
constexpr std::size_t Away = 3;
constexpr std::uint64_t CrashingFingerprint = 4711;
// Users' bounds: a daemon is in touch this long after it is back, and this many crashes may precede a quarantine.
constexpr Millis StableWindow{3000};
constexpr int MaxCrashes = 3;

// A routed fleet and a request that crashes each server that runs it.
struct CrashFixture {
    FakeFleet fleet_{Instances, 71, routedSettings()};
    int sends_ = 0;

    CrashFixture()
    {
        startRoutedFleet(fleet_);
    }

    // Sends the request through a daemon and waits until it has ended and crashed servers are back.
    void send(std::size_t index)
    {
        FakeCall call = routedCall("crash" + std::to_string(++sends_), true);
        call.fingerprint_ = CrashingFingerprint;
        call.crashesBackend_ = true;
        fleet_.call(index, call);
        fleet_.runFor(Millis(2500));
    }

    // Sends the request until it has crashed as many servers as may precede a quarantine.
    void crashServers()
    {
        for (int send = 0; send < MaxCrashes; ++send) {
            this->send(static_cast<std::size_t>(send));
        }
        BOOST_REQUIRE(fleet_.backendCrashes_ == MaxCrashes);
    }

    [[nodiscard]] bool isKnownAt(std::size_t index)
    {
        return isQuarantined(fleet_.world(index), Fingerprint(CrashingFingerprint));
    }

    void cut(std::size_t index, bool isCut)
    {
        for (std::size_t other = 0; other < Instances; ++other) {
            if (other != index) {
                fleet_.setPartitioned(index, other, isCut);
            }
        }
    }

    void killAll()
    {
        for (std::size_t index = 0; index < Instances; ++index) {
            fleet_.kill(index);
        }
        fleet_.runFor(Millis(1400));
        for (std::size_t index = 0; index < Instances; ++index) {
            fleet_.start(index);
        }
        fleet_.runFor(StableWindow);
    }
};

SuspectFailure randomFailure()
{
    return SuspectFailure{FailureId(*rc::gen::inRange<std::uint64_t>(0, 8)), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
}

} // namespace

// Guards against a daemon that takes a request in quarantine again after it was restarted, frozen or cut (review/7).
BOOST_AUTO_TEST_CASE(a_daemon_that_was_away_refuses_what_the_others_refuse)
{
    using Step = std::function<void(CrashFixture &)>;
    struct Absence {
        const char *description_;
        Step begin_;
        Step end_;
    };
    const std::vector<Absence> absences{
        {"not yet started", [](CrashFixture &fixture) { fixture.fleet_.kill(Away); }, [](CrashFixture &fixture) { fixture.fleet_.start(Away); }},
        {"frozen", [](CrashFixture &fixture) { fixture.fleet_.pause(Away); }, [](CrashFixture &fixture) { fixture.fleet_.resume(Away); }},
        {"cut", [](CrashFixture &fixture) { fixture.cut(Away, true); }, [](CrashFixture &fixture) { fixture.cut(Away, false); }},
        {"restarted afterwards", [](CrashFixture & /*fixture*/) {}, [](CrashFixture &fixture) { fixture.fleet_.start(Away); }},
    };
    for (const Absence &absence : absences) {
        CrashFixture fixture;
        absence.begin_(fixture);
        fixture.crashServers();
        fixture.fleet_.runFor(Millis(4000));
        absence.end_(fixture);
        fixture.fleet_.runFor(StableWindow);
        BOOST_TEST(fixture.isKnownAt(Away), absence.description_);
        fixture.send(Away);
        BOOST_TEST(fixture.fleet_.backendCrashes_ == MaxCrashes, absence.description_);
    }
}

// Guards against three more crashes after each loss of all daemons, and against a call of the store for each daemon or failure.
BOOST_AUTO_TEST_CASE(a_quarantine_outlives_the_loss_of_all_daemons)
{
    CrashFixture fixture;
    const std::uint64_t writesBefore = fixture.fleet_.store_.writeCount_;
    const FakeStore older = fixture.fleet_.store_;
    fixture.crashServers();
    BOOST_TEST(fixture.fleet_.store_.quarantines_.size() == 1U);
    BOOST_TEST(fixture.fleet_.store_.writeCount_ == writesBefore + 1);
    for (int loss = 0; loss < 2; ++loss) {
        fixture.killAll();
        for (std::size_t index = 0; index < Instances; ++index) {
            fixture.send(index);
        }
        BOOST_TEST(fixture.fleet_.backendCrashes_ == MaxCrashes, loss);
    }
    fixture.fleet_.store_.restoreFrom(older);
    fixture.fleet_.store_.putRouting(routing(2));
    fixture.fleet_.runFor(Millis(4000));
    BOOST_TEST(fixture.fleet_.store_.quarantines_.size() == 1U);
    // Ten minutes without a failure end it, also in the store.
    fixture.fleet_.runFor(Millis(610000));
    BOOST_TEST(!fixture.isKnownAt(0));
    BOOST_TEST(fixture.fleet_.store_.quarantines_.empty());
}

// Guards against a harmless page in quarantine after the servers of a zone that were serving it have crashed at the same moment.
BOOST_AUTO_TEST_CASE(a_crash_of_many_servers_does_not_quarantine_what_they_were_serving)
{
    CrashFixture fixture;
    FakeFleet &fleet = fixture.fleet_;
    fleet.serviceTimeOf_ = [](std::size_t) { return Millis(200); };
    const auto readPage = [&](std::size_t index) {
        FakeCall page = routedCall("page" + std::to_string(++fixture.sends_), true);
        page.fingerprint_ = 17;
        return fleet.call(index, page);
    };
    for (std::size_t reader = 0; reader < 18; ++reader) {
        readPage(reader % Instances);
    }
    fleet.runFor(Millis(100));
    for (std::size_t index = 0; index < 4; ++index) {
        BOOST_REQUIRE(fleet.instances_[index].running_ > 0);
        fleet.failBackend(index, Millis(3000));
    }
    fleet.runFor(Millis(6000));
    for (std::size_t index = 0; index < Instances; ++index) {
        BOOST_TEST(!isQuarantined(fleet.world(index), Fingerprint(17)), index);
    }
    const std::size_t again = readPage(0);
    fleet.runFor(Millis(1000));
    BOOST_TEST(fleet.results_[again].responseToken_.has_value());
    BOOST_TEST(!isSuspect(fleet.world(0), Fingerprint(17)));
    // The other side: a request that does crash servers is still refused, although pages are served beside it.
    fixture.crashServers();
    fixture.send(4);
    BOOST_TEST(fleet.backendCrashes_ == MaxCrashes);
}

// Guards against a request that crashes a server at each of its copies when it comes many times at once, again and again.
BOOST_AUTO_TEST_CASE(copies_of_a_crashing_request_at_once_reach_few_servers)
{
    for (const std::size_t copies : {2U, 3U, 6U}) {
        CrashFixture fixture;
        std::vector<Millis> crashes;
        fixture.fleet_.effectObserver_ = [&](std::size_t, const Effect &effect) {
            if (std::holds_alternative<HandOver>(effect)) {
                crashes.push_back(fixture.fleet_.now());
            }
        };
        int late = 0;
        for (int round = 0; round < 6; ++round) {
            const bool isCounted = crashes.size() >= MaxCrashes && fixture.fleet_.now() > crashes[MaxCrashes - 1] + StableWindow;
            const std::size_t before = crashes.size();
            for (std::size_t copy = 0; copy < copies; ++copy) {
                FakeCall call = routedCall("copy" + std::to_string(++fixture.sends_), false);
                call.fingerprint_ = CrashingFingerprint;
                call.crashesBackend_ = true;
                fixture.fleet_.call(copy, call);
            }
            fixture.fleet_.runFor(Millis(4000));
            late += isCounted ? static_cast<int>(crashes.size() - before) : 0;
        }
        BOOST_TEST(late <= MaxCrashes, copies << " copies: " << late);
        BOOST_TEST(fixture.isKnownAt(0), copies);
    }
}

// Guards against an answer to one request that ends an operator's quarantine, or that clears another request of which only the first part is known.
BOOST_AUTO_TEST_CASE(an_answer_clears_only_failures_of_its_own_request)
{
    CrashFixture fixture;
    World &world = fixture.fleet_.world(0);
    Offer offer;
    offer.fingerprint_ = Fingerprint(CrashingFingerprint);
    const SuspectRecord record{offer.fingerprint_, {SuspectFailure{FailureId(1), true, false}}, false, Millis(60000)};
    mergeSuspect(world, record);
    offer.isFingerprintPartial_ = true;
    clearSuspect(world, offer);
    BOOST_TEST(isSuspect(world, offer.fingerprint_));
    offer.isFingerprintPartial_ = false;
    clearSuspect(world, offer);
    BOOST_TEST(!isSuspect(world, offer.fingerprint_));
    mergeSuspect(world, record);
    BOOST_TEST(!isSuspect(world, offer.fingerprint_), "a late notice revives what was cleared");
    applyQuarantine(world, "0000000000001267", true);
    clearSuspect(world, offer);
    BOOST_TEST(isQuarantined(world, offer.fingerprint_));
    applyQuarantine(world, "0000000000001267", false);
    BOOST_TEST(!isQuarantined(world, offer.fingerprint_));
}

RC_BOOST_PROP(records_merge_in_any_order, ())
{
    std::vector<SuspectFailure> failures;
    const int count = *rc::gen::inRange(0, 20);
    for (int index = 0; index < count; ++index) {
        failures.push_back(randomFailure());
    }
    Suspect first;
    Suspect second;
    for (const SuspectFailure &failure : failures) {
        mergeFailure(first, failure);
    }
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t left = failures.size(); left > 0; --left) {
        std::swap(failures[left - 1], failures[random.uniformBelow(left)]);
        mergeFailure(second, failures[left - 1]);
        mergeFailure(second, failures[left - 1]);
    }
    RC_ASSERT(first.failures_ == second.failures_);
    RC_ASSERT(hashOf(Fingerprint(1), first) == hashOf(Fingerprint(1), second));
}

BOOST_AUTO_TEST_CASE(what_is_known_of_suspects_is_bounded)
{
    CrashFixture fixture;
    World &world = fixture.fleet_.world(0);
    fixture.crashServers();
    for (std::uint64_t number = 0; number < 2000; ++number) {
        SuspectRecord record{Fingerprint(10000 + number), {}, false, Millis(60000)};
        for (std::uint64_t failure = 0; failure < 40; ++failure) {
            record.failures_.push_back(SuspectFailure{FailureId(failure), false, failure > 1});
        }
        mergeSuspect(world, record);
    }
    BOOST_TEST(world.suspects_.rows_.size() <= 512U);
    BOOST_TEST(world.suspects_.rows_.at(Fingerprint(11999)).failures_.size() <= 16U);
    BOOST_TEST(fixture.isKnownAt(0));
}

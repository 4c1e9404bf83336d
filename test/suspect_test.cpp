// Requests that crash backend servers: they are stopped after at most two servers, and requests that ran beside them are cleared.
#define BOOST_TEST_MODULE suspect
#include "call/suspect_func.h"
#include "core/hash.h"
#include "fake/fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 10;
constexpr int MaxCrashed = 2;

// Waits until ticket 1 is active on the whole fleet.
void startWithTicket(FakeFleet &fleet)
{
    fleet.runFor(Millis(5000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(8000));
}

// A request that crashes the backend server that runs it.
FakeCall crashingRequest(const std::string &name, const std::string &requestClass)
{
    FakeCall call;
    call.token_ = name;
    call.action_ = name;
    call.class_ = requestClass;
    call.crashesBackend_ = true;
    return call;
}

// A notice of one failure.
SuspectRequestNotice noticeOf(std::uint64_t token, Fingerprint fingerprint, std::uint64_t failure)
{
    return SuspectRequestNotice{token, SuspectRecord{fingerprint, {SuspectFailure{FailureId(failure), false, false}}, false, Millis(60000)}};
}

// Sends a crashing request through one daemon after another, each time after the previous send has failed.
void sendRepeatedly(FakeFleet &fleet, const FakeCall &call, int sends)
{
    for (int send = 0; send < sends; ++send) {
        const std::size_t number = fleet.call(static_cast<std::size_t>(send * 3) % fleet.size(), call);
        while (!fleet.results_[number].isOver()) {
            fleet.runFor(Millis(1));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(an_idempotent_request_that_crashes_servers_is_quarantined_after_two)
{
    FakeFleet fleet(Instances, 31);
    startWithTicket(fleet);
    sendRepeatedly(fleet, crashingRequest("poison", "read"), 6);
    BOOST_TEST(fleet.backendCrashes_ <= MaxCrashed);
    BOOST_TEST((fleet.results_.back().failure_ == ResultCode::Quarantined));
}

BOOST_AUTO_TEST_CASE(a_non_idempotent_request_that_crashes_servers_is_quarantined_after_two)
{
    FakeFleet fleet(Instances, 32);
    startWithTicket(fleet);
    sendRepeatedly(fleet, crashingRequest("poison", "write"), 6);
    BOOST_TEST(fleet.backendCrashes_ <= MaxCrashed);
    BOOST_TEST((fleet.results_.back().failure_ == ResultCode::Quarantined));
}

BOOST_AUTO_TEST_CASE(requests_that_ran_beside_a_suspect_are_cleared)
{
    // Two requests are hedged, so that they run on both servers and fail twice beside the crashing request.
    FakeFleet fleet(2, 33);
    startWithTicket(fleet);
    for (FakeInstance &instance : fleet.instances_) {
        instance.serviceTime_ = Millis(40);
    }
    std::vector<FakeCall> concurrentCalls;
    for (int number = 0; number < 2; ++number) {
        const std::string name = "n" + std::to_string(number);
        const FakeCall call{.token_ = name, .action_ = name};
        concurrentCalls.push_back(call);
        fleet.call(static_cast<std::size_t>(number) % fleet.size(), call);
    }
    fleet.runFor(Millis(15));
    sendRepeatedly(fleet, crashingRequest("poison", "read"), 3);
    BOOST_TEST(fleet.backendCrashes_ <= MaxCrashed);
    std::uint64_t marked = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        marked += fleet.world(index).counters_.get(Counter::SuspectsMarked);
    }
    // Other requests were running too when the server crashed.
    BOOST_TEST(marked > static_cast<std::uint64_t>(fleet.backendCrashes_));
    fleet.runFor(Millis(5000));
    for (const FakeCall &call : concurrentCalls) {
        const std::size_t again = fleet.call(1, call);
        fleet.runFor(Millis(200));
        BOOST_TEST(fleet.results_[again].responseToken_.has_value());
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            BOOST_TEST(!isSuspect(fleet.world(index), Fingerprint(hashBytes(call.action_))));
        }
    }
}

BOOST_AUTO_TEST_CASE(suspects_run_one_at_a_time_so_that_a_failure_shows_which_one_crashes_the_server)
{
    FakeFleet fleet(1, 35);
    startWithTicket(fleet);
    fleet.instances_[0].serviceTime_ = Millis(50);
    for (const char *name : {"first", "second", "third"}) {
        const SuspectRequestNotice notice = noticeOf(1, Fingerprint(hashBytes(name)), hashBytes(name));
        fleet.post(0, DatagramArrived{Address{9, 9}, notice});
    }
    std::vector<std::size_t> calls;
    for (const char *name : {"first", "second", "third"}) {
        calls.push_back(fleet.call(0, FakeCall{.token_ = name, .action_ = name}));
    }
    fleet.runFor(Millis(500));
    BOOST_TEST(fleet.instances_[0].maxRunning_ == 1);
    for (const std::size_t call : calls) {
        BOOST_TEST(fleet.results_[call].responseToken_.has_value());
    }
}

BOOST_AUTO_TEST_CASE(concurrent_failures_all_count)
{
    FakeFleet fleet(1, 36);
    startWithTicket(fleet);
    const Fingerprint fingerprint(7);
    fleet.post(0, DatagramArrived{Address{9, 9}, noticeOf(1, fingerprint, 11)});
    fleet.post(0, DatagramArrived{Address{9, 9}, noticeOf(1, fingerprint, 11)});
    BOOST_TEST(!isQuarantined(fleet.world(0), fingerprint));
    fleet.post(0, DatagramArrived{Address{9, 8}, noticeOf(2, fingerprint, 12)});
    BOOST_TEST(isQuarantined(fleet.world(0), fingerprint));
}

BOOST_AUTO_TEST_CASE(quarantine_ends_by_time_and_by_ticket)
{
    FakeFleet fleet(Instances, 34);
    startWithTicket(fleet);
    const FakeCall crashing = crashingRequest("poison", "read");
    const Fingerprint fingerprint(hashBytes(crashing.action_));
    sendRepeatedly(fleet, crashing, 3);
    fleet.runFor(Millis(1000));
    const auto countQuarantined = [&]() {
        int count = 0;
        for (std::size_t index = 0; index < Instances; ++index) {
            count += isQuarantined(fleet.world(index), fingerprint) ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(countQuarantined() == static_cast<int>(Instances));
    constexpr const char *Digits = "0123456789abcdef";
    std::string hex;
    for (int shift = 60; shift >= 0; shift -= 4) {
        hex += Digits[(fingerprint.value() >> static_cast<unsigned>(shift)) & 15U];
    }
    Ticket releaseTicket;
    releaseTicket.number_ = TicketNumber(2);
    releaseTicket.submission_ = "release";
    releaseTicket.objects_ = {TicketObject{hex, TicketNumber(2), QuarantineSpec{false}}};
    fleet.submit(0, releaseTicket);
    fleet.runFor(Millis(10000));
    BOOST_TEST(countQuarantined() == 0);
    sendRepeatedly(fleet, crashing, 3);
    fleet.runFor(Millis(1000));
    BOOST_TEST(countQuarantined() == static_cast<int>(Instances));
    // The standard ticket's quarantine lasts one minute.
    fleet.runFor(Millis(62000));
    BOOST_TEST(countQuarantined() == 0);
}

// Even when other messages are lost or late, the crashing request of one caller crashes at most two backend servers.
RC_BOOST_PROP(at_most_two_backend_servers_fail, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto sends = *rc::gen::inRange(1, 8);
    FakeFleet fleet(Instances, seed);
    startWithTicket(fleet);
    fleet.datagramFaultPermille_ = 100;
    sendRepeatedly(fleet, crashingRequest("poison", seed % 2 == 0 ? "read" : "write"), sends);
    RC_ASSERT(fleet.backendCrashes_ <= MaxCrashed);
}

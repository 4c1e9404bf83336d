// Overload: bulkheads, retry budget, deadlines in the queue, cold start, slow servers, and the request rate to the store.
#define BOOST_TEST_MODULE overload
#include "fake/fake_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 6;
// Writes per second that the store service accepts.
constexpr double StoreWritesPerSecond = 300;

// Waits until ticket 1 is active on the whole fleet.
void startWithTicket(FakeFleet &fleet, const Ticket &ticket = standardTicket(1))
{
    fleet.runFor(Millis(5000));
    fleet.submit(0, ticket);
    fleet.runFor(Millis(8000));
    BOOST_REQUIRE(fleet.allUseTicket(1));
}

// Makes calls of one class at the given rate and waits for their results; returns their numbers.
std::vector<std::size_t> makeCalls(FakeFleet &fleet, const std::string &requestClass, int perSecond, Millis span)
{
    std::vector<std::size_t> numbers;
    const Millis end = fleet.now() + span;
    for (int number = 0; fleet.now() < end; ++number) {
        const std::string name = requestClass + std::to_string(fleet.calls_.size());
        const FakeCall call{.token_ = name, .action_ = name, .class_ = requestClass, .key_ = requestClass == "keyed" ? name : ""};
        numbers.push_back(fleet.call(static_cast<std::size_t>(number) % Instances, call));
        fleet.runFor(Millis::fromMicros(1000000 / perSecond));
    }
    fleet.runFor(Millis(6000));
    return numbers;
}

// Sum of a counter over all daemons.
std::uint64_t sumOfCounter(FakeFleet &fleet, Counter counter)
{
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        sum += fleet.world(index).counters_.get(counter);
    }
    return sum;
}

// Number of these calls that received a response.
std::ptrdiff_t countAnswered(const FakeFleet &fleet, const std::vector<std::size_t> &numbers)
{
    return std::count_if(numbers.begin(), numbers.end(), [&](std::size_t number) { return fleet.results_[number].responseToken_.has_value(); });
}

} // namespace

BOOST_AUTO_TEST_CASE(slow_checks_do_not_delay_reads)
{
    FakeFleet fleet(Instances, 51);
    startWithTicket(fleet);
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = 8;
    }
    fleet.runFor(Millis(2000));
    // The checks take two seconds each and would fill all slots.
    for (FakeInstance &instance : fleet.instances_) {
        instance.serviceTime_ = Millis(2000);
    }
    for (int number = 0; number < 120; ++number) {
        const std::string name = "check" + std::to_string(number);
        fleet.call(static_cast<std::size_t>(number) % Instances, FakeCall{.token_ = name, .action_ = name, .class_ = "check"});
    }
    fleet.runFor(Millis(100));
    for (FakeInstance &instance : fleet.instances_) {
        instance.serviceTime_ = Millis(5);
    }
    std::vector<std::size_t> reads;
    for (int number = 0; number < 60; ++number) {
        const std::string name = "read" + std::to_string(number);
        reads.push_back(fleet.call(static_cast<std::size_t>(number) % Instances, FakeCall{.token_ = name, .action_ = name}));
        fleet.runFor(Millis(5));
    }
    fleet.runFor(Millis(200));
    for (const std::size_t read : reads) {
        BOOST_TEST(fleet.results_[read].responseToken_.has_value());
        BOOST_TEST((fleet.results_[read].endedAt_ - fleet.results_[read].startedAt_ < Millis(100)));
    }
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_during_an_outage)
{
    FakeFleet fleet(Instances, 52);
    startWithTicket(fleet);
    for (std::size_t index = 0; index < Instances; ++index) {
        fleet.failBackend(index, Millis(20000));
    }
    const std::uint64_t before = sumOfCounter(fleet, Counter::Retries);
    const std::vector<std::size_t> calls = makeCalls(fleet, "read", 500, Millis(5000));
    const auto retries = static_cast<double>(sumOfCounter(fleet, Counter::Retries) - before);
    // The ticket allows 0.2 full retries per call; a further offer of a request that was not run costs a quarter of one.
    const double allowed = 0.2 * static_cast<double>(calls.size()) / 0.25 + Instances * 20 / 0.25;
    BOOST_TEST(retries <= allowed);
}

BOOST_AUTO_TEST_CASE(throughput_stays_at_capacity_under_overload)
{
    FakeFleet fleet(Instances, 53);
    startWithTicket(fleet);
    for (FakeInstance &instance : fleet.instances_) {
        instance.serviceTime_ = Millis(20);
    }
    // Six backend servers with four slots at 20 ms: 1,200 calls a second.
    const auto atCapacity = static_cast<double>(countAnswered(fleet, makeCalls(fleet, "read", 1200, Millis(3000))));
    const auto past = static_cast<double>(countAnswered(fleet, makeCalls(fleet, "read", 3600, Millis(3000))));
    BOOST_TEST(past >= 0.9 * atCapacity);
    for (const FakeInstance &instance : fleet.instances_) {
        BOOST_TEST(instance.maxRunning_ <= instance.slots_);
    }
}

BOOST_AUTO_TEST_CASE(a_cold_backend_server_gets_less_work_at_first_and_is_not_probed_more)
{
    FakeFleet fleet(Instances, 54);
    Ticket ticket = standardTicket(1);
    std::get<ServiceSpec>(ticket.objects_[0].spec_).coldStart_ = Millis(5000);
    startWithTicket(fleet, ticket);
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = 8;
        instance.serviceTime_ = Millis(20);
    }
    fleet.runFor(Millis(7000));
    std::map<std::uint32_t, int> probes;
    fleet.effectObserver_ = [&](std::size_t, const Effect &effect) {
        const auto *datagram = std::get_if<SendDatagram>(&effect);
        probes[datagram != nullptr && std::holds_alternative<Probe>(datagram->datagram_) ? datagram->to_.ip_ : 0] += 1;
    };
    fleet.failBackend(3, Millis(500));
    fleet.runFor(Millis(1600));
    fleet.instances_[3].maxRunning_ = 0;
    const Millis coldAt = fleet.now();
    for (int number = 0; number < 400; ++number) {
        const std::string name = "cold" + std::to_string(number);
        fleet.call(static_cast<std::size_t>(number) % Instances, FakeCall{.token_ = name, .action_ = name});
        fleet.runFor(Millis::fromMicros(500));
    }
    BOOST_TEST((fleet.now() - coldAt < Millis(1000)));
    BOOST_TEST(fleet.instances_[3].maxRunning_ <= 4);
    const int probesToCold = probes[0x7F000101 + 3];
    int most = 0;
    for (std::uint32_t index = 0; index < Instances; ++index) {
        most = index == 3 ? most : std::max(most, probes[0x7F000101 + index]);
    }
    BOOST_TEST(probesToCold <= most + 1);
}

BOOST_AUTO_TEST_CASE(a_straggler_gets_less_work)
{
    FakeFleet fleet(Instances, 55);
    startWithTicket(fleet);
    fleet.instances_[1].serviceTime_ = Millis(100);
    makeCalls(fleet, "read", 100, Millis(2000));
    const std::size_t before = fleet.instances_[1].handOverTimes_.size();
    const std::size_t beforeOther = fleet.instances_[0].handOverTimes_.size();
    makeCalls(fleet, "read", 100, Millis(8000));
    const std::size_t straggler = fleet.instances_[1].handOverTimes_.size() - before;
    const std::size_t other = fleet.instances_[0].handOverTimes_.size() - beforeOther;
    BOOST_TEST(straggler * 2 < other);
}

BOOST_AUTO_TEST_CASE(claims_stay_within_the_stores_rate)
{
    FakeFleet fleet(Instances, 56);
    startWithTicket(fleet);
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = 32;
    }
    fleet.runFor(Millis(2000));
    const std::uint64_t before = fleet.store_.writeCount_;
    const Millis start = fleet.now();
    const std::vector<std::size_t> calls = makeCalls(fleet, "keyed", 1500, Millis(4000));
    const double seconds = (fleet.now() - start).fractionalMillis() / 1000;
    const auto writes = static_cast<double>(fleet.store_.writeCount_ - before);
    BOOST_TEST(writes <= StoreWritesPerSecond * seconds);
    BOOST_TEST(static_cast<double>(countAnswered(fleet, calls)) >= 0.95 * static_cast<double>(calls.size()));
}

BOOST_AUTO_TEST_CASE(with_the_store_down_keyed_calls_are_refused_at_once_and_others_continue)
{
    FakeFleet fleet(Instances, 57);
    startWithTicket(fleet);
    fleet.store_.down_ = true;
    const std::size_t first = fleet.call(0, FakeCall{.token_ = "k1", .action_ = "k1", .class_ = "keyed", .key_ = "k1"});
    fleet.runFor(Millis(3000));
    BOOST_TEST((fleet.results_[first].failure_ == ResultCode::StoreDown));
    const std::size_t read = fleet.call(0, FakeCall{.token_ = "r", .action_ = "r"});
    fleet.runFor(Millis(50));
    BOOST_TEST(fleet.results_[read].responseToken_.has_value());
    BOOST_TEST(fleet.executions("k1") == 0);
    // Once the store responds again, the same key can be used: the refused call left no claim behind.
    fleet.store_.down_ = false;
    fleet.runFor(Millis(3000));
    const std::size_t again = fleet.call(3, FakeCall{.token_ = "k1", .action_ = "k1", .class_ = "keyed", .key_ = "k1"});
    fleet.runFor(Millis(1000));
    BOOST_TEST(fleet.results_[again].responseToken_.has_value());
}

// The measurement budget holds for each daemon and region pair: under high load, while the whole fleet restarts, and while many instances
// fail.
#define BOOST_TEST_MODULE budget
#include "fake/fake_fleet.h"
#include "measure/measurement_budget_func.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 12;
constexpr Bytes ReportBytes{11};
constexpr Millis Window{10000};
constexpr double WindowSeconds = 10;
// Capacity of a bucket, as seconds of its rate.
constexpr double BurstSeconds = 1;

// Measurement traffic of one sender or region pair within the latest window, and its maximum over all windows.
struct SlidingWindow {
    std::deque<std::tuple<Millis, double, double>> items_;
    double bytes_ = 0;
    double probes_ = 0;
    double maxBytes_ = 0;
    double maxProbes_ = 0;

    void add(Millis now, double bytes, double probes)
    {
        items_.emplace_back(now, bytes, probes);
        bytes_ += bytes;
        probes_ += probes;
        while (std::get<0>(items_.front()) + Window <= now) {
            bytes_ -= std::get<1>(items_.front());
            probes_ -= std::get<2>(items_.front());
            items_.pop_front();
        }
        maxBytes_ = std::max(maxBytes_, bytes_);
        maxProbes_ = std::max(maxProbes_, probes_);
    }
};

// Counts measurement traffic independently of the daemons' own counters, from the effects that they emit.
struct Auditor {
    FakeFleet &fleet_;
    std::map<std::size_t, SlidingWindow> byDaemon_;
    std::map<std::pair<std::string, std::string>, SlidingWindow> byPair_;

    explicit Auditor(FakeFleet &fleet)
        : fleet_(fleet)
    {
        fleet.effectObserver_ = [this](std::size_t index, const Effect &effect) { watch(index, effect); };
    }

    // Region of an instance, by the instance's index.
    static std::string regionOfIndex(std::size_t index)
    {
        return "r" + std::to_string(index % 6 / 2);
    }

    void count(std::size_t from, const std::string &to, Bytes bytes, bool isProbe)
    {
        byDaemon_[from].add(fleet_.now(), static_cast<double>(bytes.value()), isProbe ? 1 : 0);
        if (regionOfIndex(from) != to) {
            byPair_[{regionOfIndex(from), to}].add(fleet_.now(), static_cast<double>(bytes.value()), isProbe ? 1 : 0);
        }
    }

    // Name of the instance to which the response of an exchange goes.
    static std::string regionOfSender(const World &world, ExchangeHandle exchange)
    {
        const auto found = world.admissions_.byExchange_.find(exchange);
        return found == world.admissions_.byExchange_.end() ? "" : world.admissions_.rows_.get(found->second)->offer_.sender_.value();
    }

    void countReport(std::size_t index, const LoadReport &report)
    {
        if (report.limit_.value() > 0) {
            byDaemon_[index].add(fleet_.now(), static_cast<double>(ReportBytes.value()), 0);
        }
    }

    void watch(std::size_t index, const Effect &effect)
    {
        if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
            if (datagram->purpose_ == MessagePurpose::Measuring) {
                const std::size_t to = datagram->to_.ip_ - 0x7F000101;
                count(index, regionOfIndex(to), maxDatagramWireSize(datagram->datagram_), std::holds_alternative<Probe>(datagram->datagram_));
            }
        } else if (const auto *end = std::get_if<EndExchange>(&effect)) {
            countReport(index, end->report_);
        }
    }

    // Checks the maxima against the limits of a daemon, and against the pair limits of the standard ticket.
    void checkLimits(double bytesPerSecond = 20000, double probesPerSecond = 10) const
    {
        for (const auto &[index, window] : byDaemon_) {
            BOOST_TEST(window.maxBytes_ <= bytesPerSecond * (WindowSeconds + BurstSeconds));
            BOOST_TEST(window.maxProbes_ <= probesPerSecond * (WindowSeconds + BurstSeconds));
        }
        for (const auto &[pair, window] : byPair_) {
            BOOST_TEST(window.maxBytes_ <= 2000 * (WindowSeconds + BurstSeconds));
            BOOST_TEST(window.maxProbes_ <= 4 * (WindowSeconds + BurstSeconds));
        }
    }
};

// The standard ticket with limits so low that ordinary traffic reaches them immediately.
Ticket lowLimitTicket()
{
    Ticket ticket = standardTicket(1);
    auto &budget = std::get<MeasurementBudgetSpec>(ticket.objects_[1].spec_);
    budget.bytesPerSecond_ = Bytes(300);
    budget.probesPerSecond_ = 1;
    return ticket;
}

// Sends calls through all daemons in turn at a rate.
void sendCalls(FakeFleet &fleet, int perSecond, Millis span)
{
    const Millis end = fleet.now() + span;
    for (int number = 0; fleet.now() < end; ++number) {
        const std::string name = "c" + std::to_string(fleet.calls_.size());
        fleet.call(static_cast<std::size_t>(number) % Instances, FakeCall{.token_ = name, .action_ = name});
        fleet.runFor(Millis::fromMicros(1000000 / perSecond));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_measured_before_a_budget_is_set)
{
    FakeFleet fleet(Instances, 41);
    Auditor auditor(fleet);
    fleet.runFor(Millis(20000));
    BOOST_TEST(auditor.byDaemon_.empty());
}

BOOST_AUTO_TEST_CASE(the_budget_holds_under_high_load)
{
    FakeFleet fleet(Instances, 42);
    Auditor auditor(fleet);
    fleet.runFor(Millis(5000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(8000));
    sendCalls(fleet, 4000, Millis(12000));
    BOOST_TEST(!auditor.byDaemon_.empty());
    auditor.checkLimits();
}

BOOST_AUTO_TEST_CASE(a_low_budget_holds_and_calls_are_still_answered)
{
    FakeFleet fleet(Instances, 46);
    Auditor auditor(fleet);
    fleet.runFor(Millis(5000));
    fleet.submit(0, lowLimitTicket());
    fleet.runFor(Millis(8000));
    sendCalls(fleet, 100, Millis(12000));
    sendCalls(fleet, 2000, Millis(4000));
    fleet.runFor(Millis(1000));
    BOOST_TEST(!auditor.byDaemon_.empty());
    auditor.checkLimits(300, 1);
    for (const CallResult &result : fleet.results_) {
        BOOST_REQUIRE(result.responseToken_.has_value());
    }
}

BOOST_AUTO_TEST_CASE(the_budget_holds_while_the_whole_fleet_restarts)
{
    FakeFleet fleet(Instances, 43);
    fleet.runFor(Millis(5000));
    fleet.submit(0, lowLimitTicket());
    fleet.runFor(Millis(8000));
    Auditor auditor(fleet);
    for (int round = 0; round < 5; ++round) {
        for (std::size_t index = 0; index < Instances; ++index) {
            fleet.kill(index);
            fleet.start(index);
        }
        sendCalls(fleet, 1000, Millis(2500));
    }
    auditor.checkLimits(300, 1);
}

BOOST_AUTO_TEST_CASE(the_budget_holds_under_many_failures)
{
    FakeFleet fleet(Instances, 44);
    Auditor auditor(fleet);
    fleet.runFor(Millis(5000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(8000));
    fleet.datagramFaultPermille_ = 300;
    for (std::size_t index = 0; index < Instances; ++index) {
        fleet.at(fleet.now() + Millis(static_cast<std::int64_t>(index) * 300), [&fleet, index]() { fleet.failBackend(index, Millis(2000)); });
        if (index % 3 == 0) {
            fleet.at(fleet.now() + Millis(1000), [&fleet, index]() { fleet.kill(index); });
        }
    }
    sendCalls(fleet, 1000, Millis(12000));
    auditor.checkLimits();
}

BOOST_AUTO_TEST_CASE(no_probe_crosses_regions_while_the_own_region_is_healthy)
{
    FakeFleet fleet(Instances, 45);
    fleet.runFor(Millis(5000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(8000));
    int crossRegionProbes = 0;
    fleet.effectObserver_ = [&](std::size_t index, const Effect &effect) {
        const auto *datagram = std::get_if<SendDatagram>(&effect);
        const bool isProbe = datagram != nullptr && std::holds_alternative<Probe>(datagram->datagram_);
        crossRegionProbes += isProbe && datagram->toRegion_ != fleet.world(index).fleet_.rows_.get(fleet.world(index).fleet_.self_)->region_ ? 1 : 0;
    };
    sendCalls(fleet, 500, Millis(10000));
    BOOST_TEST(crossRegionProbes == 0);
}

// The sum over all daemons of a region stays within the pair's limit, whatever the times and sizes of the messages.
RC_BOOST_PROP(shares_of_a_pair_add_up_to_no_more_than_its_limit, ())
{
    FakeFleet fleet(Instances, *rc::gen::arbitrary<std::uint64_t>());
    fleet.runFor(Millis(3000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(8000));
    const Millis start = fleet.now();
    double granted = 0;
    const RegionId other(2);
    for (const auto &[step, size] : *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(1, 400)))) {
        fleet.runFor(Millis(step));
        for (std::size_t index = 0; index < Instances; ++index) {
            if (Auditor::regionOfIndex(index) == "r0") {
                World &world = fleet.world(index);
                world.now_ = std::max(world.now_, fleet.now());
                granted += tryTakeMeasurementBudget(world, other, Bytes(size), false) ? size : 0;
            }
        }
        RC_ASSERT(granted <= 2000 * ((fleet.now() - start).fractionalMillis() / 1000 + BurstSeconds) + 1e-6);
    }
}

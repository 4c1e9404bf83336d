// Compares the tail latency and the measurement cost of each strategy with servers that share their machine with other load, slow servers
// and a draining server. All strategies run in one process, so that the ratios can be compared.
#include "fake/fake_fleet.h"
#include "measure/selection_func.h"

#include <cmath>
#include <cstdio>
#include <numeric>

namespace radishford {

namespace {

// Bytes of one call without measurement traffic: request, response and their frames.
constexpr double CallBytes = 1500;
constexpr Millis RunTime{12000};
constexpr Millis WarmUp{1000};
constexpr std::size_t FirstStraggler = 1;
constexpr std::size_t SecondStraggler = 6;
constexpr std::size_t Drained = 4;

// Sizes of a simulated deployment.
struct Deployment {
    const char *name_;
    std::size_t upstreams_;
    int slots_;
    // Calls per second over all daemons.
    int callsPerSecond_;
};

constexpr std::array<Deployment, 2> Deployments{{{"yukiguni booking", 10, 12, 7000}, {"paroisse parish-desk", 8, 18, 8000}}};

// Result of one run.
struct RunResult {
    std::vector<double> latencies_;
    std::size_t failed_ = 0;
    double measuringBytes_ = 0;
    double crossRegionProbes_ = 0;
    double offers_ = 0;
};

// Service times: a base time with jitter, longer while other load on the machine is busy, and always longer at the stragglers.
class VariableWorkTime
{
public:
    VariableWorkTime(std::size_t servers, std::uint64_t seed)
        : random_(seed)
        , slowUntil_(servers)
        , normalUntil_(servers)
    {
    }

    Millis draw(std::size_t server, Millis now)
    {
        constexpr double BaseMs = 5;
        constexpr double BusyFactor = 6;
        constexpr double StragglerFactor = 3;
        if (now >= normalUntil_[server] && now >= slowUntil_[server]) {
            slowUntil_[server] = now + Millis(static_cast<std::int64_t>(random_.uniformBelow(25)) + 5);
            normalUntil_[server] = slowUntil_[server] + Millis(static_cast<std::int64_t>(random_.uniformBelow(200)) + 50);
        }
        const double jitter = -std::log(1 - random_.uniformReal());
        double milliseconds = BaseMs * (0.5 + 0.5 * jitter);
        milliseconds *= now < slowUntil_[server] ? BusyFactor : 1;
        milliseconds *= server == FirstStraggler || server == SecondStraggler ? StragglerFactor : 1;
        return Millis::fromMicros(static_cast<std::int64_t>(milliseconds * 1000));
    }

private:
    Random random_;
    std::vector<Millis> slowUntil_;
    std::vector<Millis> normalUntil_;
};

// The standard ticket with the measurement budget of the example ticket for yukiguni.
Ticket benchTicket()
{
    Ticket ticket = standardTicket(1);
    auto &budget = std::get<MeasurementBudgetSpec>(ticket.objects_[1].spec_);
    budget.bytesPerSecond_ = Bytes(40000);
    budget.probesPerSecond_ = 20;
    for (RegionPairBudget &pair : budget.regionPairs_) {
        pair.bytesPerSecond_ = Bytes(6000);
    }
    return ticket;
}

// Runs the strategy of the settings on one deployment.
RunResult run(const Deployment &deployment, const WorldSettings &settings, double loadFactor, std::uint64_t seed)
{
    FakeFleet fleet(deployment.upstreams_, seed, settings);
    for (FakeInstance &instance : fleet.instances_) {
        instance.slots_ = deployment.slots_;
    }
    VariableWorkTime work(deployment.upstreams_, seed);
    fleet.serviceTimeOf_ = [&](std::size_t server) { return work.draw(server, fleet.now()); };
    fleet.runFor(Millis(5000));
    fleet.submit(0, benchTicket());
    fleet.runFor(Millis(6000));
    RunResult result;
    fleet.effectObserver_ = [&](std::size_t index, const Effect &effect) {
        const auto *datagram = std::get_if<SendDatagram>(&effect);
        const bool probe = datagram != nullptr && std::holds_alternative<Probe>(datagram->datagram_);
        const RegionId own = fleet.world(index).fleet_.rows_.get(fleet.world(index).fleet_.self_)->region_;
        result.crossRegionProbes_ += probe && datagram->toRegion_ != own ? 1 : 0;
    };
    const Millis start = fleet.now();
    fleet.at(start + Millis(RunTime.count() / 2), [&]() { fleet.instances_[Drained].announcedState_ = BackendState::Draining; });
    const auto gap = Millis::fromMicros(static_cast<std::int64_t>(1e6 / (deployment.callsPerSecond_ * loadFactor)));
    for (std::uint64_t number = 0; fleet.now() < start + RunTime; ++number) {
        const std::string name = std::to_string(number);
        fleet.call(number % deployment.upstreams_, FakeCall{.token_ = name, .action_ = name});
        fleet.runFor(gap);
    }
    fleet.runFor(Millis(3000));
    for (const CallResult &call : fleet.results_) {
        if (call.startedAt_ < start + WarmUp) {
            continue;
        }
        if (call.responseToken_) {
            result.latencies_.push_back((call.endedAt_ - call.startedAt_).fractionalMillis());
        } else {
            ++result.failed_;
        }
    }
    std::sort(result.latencies_.begin(), result.latencies_.end());
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        for (const auto &[key, traffic] : fleet.world(index).counters_.traffic_) {
            result.measuringBytes_ += key.purpose_ == MessagePurpose::Measuring ? static_cast<double>(traffic.bytes_.value()) : 0;
        }
        result.offers_ += static_cast<double>(fleet.world(index).counters_.get(Counter::Attempts));
    }
    return result;
}

// Returns a latency quantile in milliseconds; part is between 0 and 1.
double quantile(const RunResult &result, double part)
{
    return result.latencies_.empty() ? 0 : result.latencies_[static_cast<std::size_t>(part * static_cast<double>(result.latencies_.size() - 1))];
}

// Prints one line with the result of a run. baseP99 is the 99th percentile of the random strategy.
void print(const char *name, const RunResult &result, double baseP99)
{
    const double calls = static_cast<double>(result.latencies_.size() + result.failed_);
    std::printf(
        "  %-26s p50 %6.2f  p99 %7.2f  p99.9 %7.2f ms  p99/random %.2f  failed %.2f%%  measuring %.2f%% of call bytes  offers/call %.2f  probes across %g\n",
        name, quantile(result, 0.5), quantile(result, 0.99), quantile(result, 0.999), quantile(result, 0.99) / baseP99,
        100.0 * static_cast<double>(result.failed_) / calls, 100 * result.measuringBytes_ / (calls * CallBytes), result.offers_ / calls,
        result.crossRegionProbes_);
}

// Prints the results of all strategies, with late binding by offers and with immediate sending.
void printStrategies(const Deployment &deployment)
{
    std::printf("%s: %zu upstreams of %d slots, %d calls/s\n", deployment.name_, deployment.upstreams_, deployment.slots_, deployment.callsPerSecond_);
    for (const bool lateBinding : {false, true}) {
        std::printf(" %s\n", lateBinding ? "offers bind late" : "sent at once");
        WorldSettings settings;
        settings.isLateBindingEnabled_ = lateBinding;
        settings.isHedgingEnabled_ = false;
        settings.strategy_ = StrategyKind::Random;
        const double baseP99 = quantile(run(deployment, settings, 1, 1), 0.99);
        for (std::uint8_t kind = 0; kind < static_cast<std::uint8_t>(StrategyKind::Count); ++kind) {
            settings.strategy_ = static_cast<StrategyKind>(kind);
            print(strategyName(settings.strategy_).data(), run(deployment, settings, 1, 1), baseP99);
        }
        settings.strategy_ = StrategyKind::LoadThenLatency;
        settings.isHedgingEnabled_ = true;
        print("load-then-latency, hedged", run(deployment, settings, 1, 1), baseP99);
    }
}

// Prints the goodput at loads from below capacity to far above it.
void printGoodputByLoad(const Deployment &deployment)
{
    std::printf("%s: goodput by load\n", deployment.name_);
    for (const double factor : {0.5, 1.0, 1.25, 1.5, 2.0, 3.0}) {
        const RunResult result = run(deployment, WorldSettings(), factor, 2);
        const double seconds = (RunTime - WarmUp).fractionalMillis() / 1000;
        std::printf("  load %.2f  answered %.0f/s  p99 %.2f ms  offers/call %.2f\n", factor, static_cast<double>(result.latencies_.size()) / seconds,
                    quantile(result, 0.99), result.offers_ / static_cast<double>(result.latencies_.size() + result.failed_));
    }
}

} // namespace

} // namespace radishford

int main()
{
    for (const radishford::Deployment &deployment : radishford::Deployments) {
        radishford::printStrategies(deployment);
    }
    radishford::printGoodputByLoad(radishford::Deployments[0]);
    return 0;
}

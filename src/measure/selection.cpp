// Load balancing strategies and the candidates that they select from.
#include "measure/selection_func.h"

#include "call/call_base.h"
#include "fleet/instance_func.h"
#include "measure/latency_prediction_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>

namespace radishford {

namespace {

// Number of candidates that the load-then-latency strategy compares.
constexpr std::size_t SampleSize = 4;
// Age in milliseconds at which a load report has half its weight.
constexpr double ReportHalfLifeMs = 20.0;
// Latency in milliseconds assumed for a backend server without a load report.
constexpr double UnknownLatencyMs = 6.0;
// Load assumed for a backend server without a load report: neither preferred nor excluded.
constexpr double UnknownLoad = 0.5;
// Load from which a backend server is considered full, as a fraction of its limit.
constexpr double FullLoad = 0.95;
// Round trip times assumed by distance.
constexpr Millis SameDomainRoundTrip = Millis::fromMicros(100);
constexpr Millis SameRegionRoundTrip{2};
constexpr Millis OtherRegionRoundTrip{16};
// Time for which an instance is excluded after a first failure. It doubles with each further failure in a row, up to the maximum.
constexpr Millis FirstExclusion{100};
constexpr Millis MaxExclusion{5000};

// Estimates a candidate's load as a fraction of its limit. The weight of the report decays with its age; the attempts that this daemon has
// running there are a lower bound.
double estimatedLoad(const Candidate &candidate)
{
    const auto slots = static_cast<double>(std::max(1, candidate.slots_.value()));
    const double own = candidate.outstandingAttempts_ / slots;
    if (candidate.report_.limit_.value() == 0) {
        return std::max(own, UnknownLoad);
    }
    const auto limit = static_cast<double>(candidate.report_.limit_.value());
    const double reported = (candidate.report_.inFlight_ + candidate.report_.queued_).value() / limit;
    const double weight = ReportHalfLifeMs / (ReportHalfLifeMs + candidate.reportAge_.fractionalMillis());
    const double decayed = weight * reported + (1 - weight) * std::min(reported, UnknownLoad);
    return std::max(own, decayed + candidate.attemptsSinceReport_ / limit);
}

// Estimates the time in milliseconds until a candidate with a free slot responds, round trip included.
double estimatedLatencyMs(const Candidate &candidate, double load)
{
    const double latency = candidate.report_.limit_.value() == 0 ? UnknownLatencyMs : std::max(0.1, candidate.report_.latency_.fractionalMillis());
    return latency * (1 + load) + candidate.roundTrip_.fractionalMillis();
}

// Samples a few candidates and selects the one with the lowest estimated latency among those that are not full; when all are full, the one
// with the lowest load.
std::size_t selectByLoadThenLatency(SelectionContext &context, const std::vector<Candidate> &candidates)
{
    std::size_t best = candidates.size();
    bool bestIsFull = true;
    double bestRank = 0;
    const std::size_t start = context.random_.uniformBelow(candidates.size());
    const std::size_t stride = 1 + (candidates.size() > 2 ? context.random_.uniformBelow(candidates.size() - 1) : 0);
    for (std::size_t step = 0; step < std::min(SampleSize, candidates.size()); ++step) {
        const std::size_t index = (start + step * stride) % candidates.size();
        const double load = estimatedLoad(candidates[index]);
        const bool isFull = load >= FullLoad;
        const double rank = isFull ? load : estimatedLatencyMs(candidates[index], load);
        const bool better = best == candidates.size() || (isFull != bestIsFull ? bestIsFull : rank < bestRank);
        if (better) {
            best = index;
            bestIsFull = isFull;
            bestRank = rank;
        }
    }
    return best;
}

// Selects a candidate at random.
std::size_t selectRandom(SelectionContext &context, const std::vector<Candidate> &candidates)
{
    return context.random_.uniformBelow(candidates.size());
}

// Selects the candidates in turn.
std::size_t selectRoundRobin(SelectionContext &context, const std::vector<Candidate> &candidates)
{
    return context.roundRobinCounter_++ % candidates.size();
}

// Selects the candidate with the fewest outstanding attempts of this daemon. The scan starts at a random index, so that ties are spread
// evenly.
std::size_t selectLeastInFlight(SelectionContext &context, const std::vector<Candidate> &candidates)
{
    const std::size_t start = context.random_.uniformBelow(candidates.size());
    std::size_t best = start;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        const std::size_t index = (start + step) % candidates.size();
        if (candidates[index].outstandingAttempts_ < candidates[best].outstandingAttempts_) {
            best = index;
        }
    }
    return best;
}

// Draws two candidates at random and selects the one with fewer outstanding attempts of this daemon.
std::size_t selectOfTwo(SelectionContext &context, const std::vector<Candidate> &candidates)
{
    const std::size_t first = context.random_.uniformBelow(candidates.size());
    const std::size_t second = context.random_.uniformBelow(candidates.size());
    return candidates[second].outstandingAttempts_ < candidates[first].outstandingAttempts_ ? second : first;
}

// A strategy's function and its name in reports.
struct StrategyEntry {
    SelectionFunction select_;
    std::string_view name_;
};

// Indexed by StrategyKind.
constexpr std::array<StrategyEntry, static_cast<std::size_t>(StrategyKind::Count)> StrategyTable{{
    {selectByLoadThenLatency, "load-then-latency"},
    {selectRandom, "random"},
    {selectRoundRobin, "round-robin"},
    {selectLeastInFlight, "least-in-flight"},
    {selectOfTwo, "two-choices"},
}};

// Returns the round trip time assumed for an instance, by whether it shares this daemon's failure domain or region.
Millis roundTripTo(const World &world, const Instance &instance)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    if (instance.domain_ == self.domain_) {
        return SameDomainRoundTrip;
    }
    return instance.region_ == self.region_ ? SameRegionRoundTrip : OtherRegionRoundTrip;
}

// Groups of candidates, in the order in which they are tried. Within a group the strategy decides.
enum class CandidateGroup : std::uint8_t {
    SameRegion, // Running, in this daemon's region.
    OtherRegion, // Running, in another region.
    ConsideredDead, // Considered dead by the membership protocol.
    Count, // Number of groups.
};

// Returns the group by the instance's health and region.
CandidateGroup groupOf(const World &world, const Instance &instance)
{
    if (!isRunning(instance)) {
        return CandidateGroup::ConsideredDead;
    }
    return instance.region_ == ownRegion(world) ? CandidateGroup::SameRegion : CandidateGroup::OtherRegion;
}

// Returns true when the instance's backend server is ready, it is not excluded for a time, and the call has neither tried it nor found it
// full.
bool isEligible(const World &world, const Call &call, const Instance &instance)
{
    const bool isReady = instance.record_.health_ != Health::Left && instance.record_.backend_ == BackendState::Ready;
    const auto contains = [&](const std::vector<InstanceName> &list) { return std::find(list.begin(), list.end(), instance.record_.name_) != list.end(); };
    const bool wasTried = contains(call.failedInstances_) || contains(call.fullInstances_);
    return isReady && !wasTried && instance.excludedUntil_ <= world.now_;
}

// Builds the candidate of an instance from its record, its latest load report and this daemon's own attempts.
Candidate makeCandidate(const World &world, InstanceId id, const Instance &instance)
{
    Candidate candidate;
    candidate.instance_ = id;
    candidate.slots_ = instance.record_.slots_;
    candidate.outstandingAttempts_ = instance.outstandingAttempts_;
    candidate.attemptsSinceReport_ = std::min(instance.attemptsSinceReport_, instance.outstandingAttempts_);
    candidate.roundTrip_ = roundTripTo(world, instance);
    if (instance.reportReceivedAt_ != Millis::never()) {
        candidate.report_ = instance.report_;
        candidate.reportAge_ = world.now_ - instance.reportReceivedAt_;
    }
    return candidate;
}

// Returns true when one of the call's live attempts is at the instance.
bool hasAttemptAt(const World &world, const Call &call, InstanceId id)
{
    return std::any_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId attempt) { return world.calls_.attempts_.get(attempt)->instance_ == id; });
}

} // namespace

SelectionFunction selectionFunction(StrategyKind kind)
{
    return StrategyTable[static_cast<std::size_t>(kind)].select_;
}

std::string_view strategyName(StrategyKind kind)
{
    return StrategyTable[static_cast<std::size_t>(kind)].name_;
}

InstanceId selectInstance(World &world, const Call &call)
{
    if (call.routed_ && world.settings_.strategy_ == StrategyKind::LoadThenLatency) {
        return selectByPredictedLatency(world, call);
    }
    const auto members = world.fleet_.byService_.find(call.service_);
    if (members == world.fleet_.byService_.end()) {
        return InstanceId{};
    }
    std::array<std::vector<Candidate>, static_cast<std::size_t>(CandidateGroup::Count)> groups;
    for (const InstanceId id : members->second) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        if (isEligible(world, call, instance) && !hasAttemptAt(world, call, id)) {
            groups[static_cast<std::size_t>(groupOf(world, instance))].push_back(makeCandidate(world, id, instance));
        }
    }
    const Candidate *best = nullptr;
    SelectionContext context{world.random_, world.calls_.roundRobinPosition_};
    for (const std::vector<Candidate> &group : groups) {
        if (group.empty()) {
            continue;
        }
        const Candidate &chosen = group[selectionFunction(world.settings_.strategy_)(context, group)];
        best = best == nullptr || estimatedLoad(chosen) < FullLoad ? &chosen : best;
        if (estimatedLoad(*best) < FullLoad) {
            break;
        }
    }
    return best == nullptr ? InstanceId{} : best->instance_;
}

void recordLoadReport(World &world, Instance &instance, const LoadReport &report)
{
    if (report.limit_.value() == 0) {
        return;
    }
    instance.report_ = report;
    instance.reportReceivedAt_ = world.now_;
    instance.attemptsSinceReport_ = 0;
    instance.consecutiveFailures_ = 0;
}

Millis lowestReportedLatency(const World &world, const ServiceName &service)
{
    const auto members = world.fleet_.byService_.find(service);
    Millis best;
    if (members == world.fleet_.byService_.end()) {
        return best;
    }
    for (const InstanceId id : members->second) {
        const Millis latency = world.fleet_.rows_.get(id)->report_.latency_;
        const bool better = latency > Millis() && (best == Millis() || latency < best);
        best = better ? latency : best;
    }
    return best;
}

void markFull(World &world, Instance &instance)
{
    instance.report_.limit_ = std::max(instance.report_.limit_, Slots(1));
    instance.report_.inFlight_ = instance.report_.limit_;
    instance.reportReceivedAt_ = world.now_;
    instance.attemptsSinceReport_ = 0;
}

void excludeTemporarily(World &world, Instance &instance)
{
    const Millis duration = FirstExclusion * (std::int64_t{1} << std::min(instance.consecutiveFailures_, 10));
    instance.excludedUntil_ = world.now_ + std::min(duration, MaxExclusion);
    ++instance.consecutiveFailures_;
}

} // namespace radishford

// Choice of a backend server for a routed call by the predicted time to its answer.
#include "measure/predict_func.h"

#include "call/call_base.h"
#include "fleet/instance_func.h"
#include "measure/choose_func.h"
#include "world/world.h"

#include <algorithm>
#include <cmath>

namespace radishford {

namespace {

// Speeds of servers change within about this time; a report says less and less meanwhile.
constexpr double SlownessMemoryMs = 110.0;
// Slowness expected where no fresh report tells, in parts of the usual.
constexpr double MeanSlowness = 1.6;
// Most by which a reported slowness counts: such a server does not start work, and its phase ends soon.
constexpr double MaxCountedSlowness = 2.5;
// Latency assumed where no report tells.
constexpr double UnknownLatencyMs = 50.0;
// Load above which a server has hardly room, in parts of its limit.
constexpr double BusyLoad = 0.75;
// Round trips by distance.
constexpr double SameDomainRoundTripMs = 0.3;
constexpr double SameRegionRoundTripMs = 3.0;
constexpr double OtherRegionRoundTripMs = 17.0;
// Waiting that is worth keeping a kilobyte within its failure domain, or its region: such traffic is billed.
constexpr double CrossDomainMsPerKilobyte = 10.0;
constexpr double CrossRegionMsPerKilobyte = 14.0;
// Parts of the latency target that are spent on staying near at most, whatever the bytes.
constexpr double MaxTargetShareForDomain = 0.35;
constexpr double MaxTargetShareForRegion = 0.5;
// Latency target assumed when the route states none.
constexpr double UnknownTargetMs = 300.0;
// Bytes of an answer and of the messages around it.
constexpr double ResponseKilobytes = 2.0;
// Waiting that a call accepts at once rather than stay near.
constexpr double InitialMaxDistanceMs = 10.0;
// Spread of equal choices, so that daemons with the same view do not meet at one server.
constexpr double JitterMs = 6.0;
// A server in another region that had requests waiting is not asked again for this long.
constexpr Millis FullReportLifetime{100};
// Share of failed requests that says nothing about a server.
constexpr double ToleratedFailureShare = 0.15;
// Waiting that avoids a certain failure.
constexpr double FailureCostMs = 1000.0;
// Time in which a report of failures loses most of its weight.
constexpr double FailureMemoryMs = 2000.0;
constexpr double BytesPerKilobyte = 1000.0;
constexpr double PercentScale = 100.0;

// True when a server in another region had no room by its latest report, and that is not long ago: asking costs a long round trip.
bool isRemoteAndFull(const World &world, const Instance &instance)
{
    const bool isRemote = instance.region_ != ownRegion(world);
    const bool isRecent = instance.reportedAt_ != Millis::never() && world.now_ - instance.reportedAt_ < FullReportLifetime;
    return isRemote && isRecent && instance.report_.queued_ > Slots();
}

// What it takes to reach an instance, in milliseconds of waiting.
double distanceCostMs(const World &world, const Call &call, const Instance &instance)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    const double kilobytes = static_cast<double>(call.bodySize_.value()) / BytesPerKilobyte + ResponseKilobytes;
    const Millis statedTarget = call.valuableUntil_ - call.startedAt_;
    const double target = statedTarget > Millis() ? statedTarget.fraction() : UnknownTargetMs;
    if (instance.domain_ == self.domain_) {
        return SameDomainRoundTripMs;
    }
    if (instance.region_ == self.region_) {
        return SameRegionRoundTripMs + std::min(kilobytes * CrossDomainMsPerKilobyte, target * MaxTargetShareForDomain);
    }
    return OtherRegionRoundTripMs + std::min(kilobytes * CrossRegionMsPerKilobyte, target * MaxTargetShareForRegion);
}

// Predicted time from the start of work to its end, and the wait before it.
double predictedWorkMs(const World &world, const Instance &instance)
{
    if (instance.reportedAt_ == Millis::never()) {
        return UnknownLatencyMs * MeanSlowness;
    }
    const LoadReport &report = instance.report_;
    const double age = (world.now_ - instance.reportedAt_).fraction();
    const double weight = std::exp(-age / SlownessMemoryMs);
    const double reportedSlowness = report.slowness_ == Percent() ? 1.0 : std::min(MaxCountedSlowness, report.slowness_.value() / PercentScale);
    const double slowness = weight * reportedSlowness + (1 - weight) * MeanSlowness;
    const double latency = std::max(1.0, report.latency_.fraction());
    const double limit = std::max(1, report.limit_.value());
    const int started = std::min(instance.startedSinceReport_, instance.outstanding_);
    const double load = ((report.inFlight_ + report.queued_).value() * weight + started) / limit;
    const double wait = load > BusyLoad ? (load - BusyLoad + 0.1) * latency : 0;
    return latency * slowness + wait;
}

// Share of requests that the instance's backend server failed, by its latest report. A report says less and less with its age, so that a
// server which was left alone is tried again.
double failingShare(const World &world, const Instance &instance)
{
    if (instance.reportedAt_ == Millis::never()) {
        return 0;
    }
    const double age = (world.now_ - instance.reportedAt_).fraction();
    return instance.report_.failing_.value() / PercentScale * std::exp(-age / FailureMemoryMs);
}

// Share of failed requests that sets no server of a service apart: above twice the median. When all fail alike, none is worse.
double toleratedFailureShare(const World &world, const std::vector<InstanceId> &members)
{
    std::vector<double> shares;
    shares.reserve(members.size());
    for (const InstanceId id : members) {
        shares.push_back(failingShare(world, *world.fleet_.rows_.get(id)));
    }
    const auto median = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), median, shares.end());
    return ToleratedFailureShare + 2 * *median;
}

// What the risk is worth that the instance's backend server fails the call, in milliseconds of waiting.
double failureCostMs(const World &world, const Instance &instance, double tolerated)
{
    const double share = world.settings_.judgeOutcomes_ ? failingShare(world, instance) : 0;
    return std::max(0.0, share - tolerated) * FailureCostMs;
}

// True when an instance can take an attempt of a call.
bool isEligible(const World &world, const Call &call, InstanceId id, const Instance &instance)
{
    const auto contains = [&](const std::vector<InstanceName> &list) { return std::find(list.begin(), list.end(), instance.record_.name_) != list.end(); };
    const bool running = isRunning(instance) && instance.record_.backend_ == BackendState::Ready;
    const bool wasTried = contains(call.tried_) || contains(call.full_);
    const bool hasLiveAttempt
        = std::any_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId attempt) { return world.calls_.attempts_.get(attempt)->instance_ == id; });
    return running && !wasTried && !hasLiveAttempt && instance.avoidUntil_ <= world.now_;
}

} // namespace

InstanceId choosePredicted(World &world, const Call &call)
{
    const auto members = world.fleet_.byService_.find(call.service_);
    if (members == world.fleet_.byService_.end()) {
        return InstanceId{};
    }
    if (members->second.empty()) {
        return InstanceId{};
    }
    const double tolerated = toleratedFailureShare(world, members->second);
    double minDistance = -1;
    for (const InstanceId id : members->second) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        const bool ready = isRunning(instance) && instance.record_.backend_ == BackendState::Ready && instance.avoidUntil_ <= world.now_;
        const double distance = distanceCostMs(world, call, instance) + failureCostMs(world, instance, tolerated);
        minDistance = ready && (minDistance < 0 || distance < minDistance) ? distance : minDistance;
    }
    const double maxDistance = std::max(minDistance, InitialMaxDistanceMs + (world.now_ - call.startedAt_).fraction());
    InstanceId best;
    double bestTotalMs = 0;
    for (const InstanceId id : members->second) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        const double distance = distanceCostMs(world, call, instance) + failureCostMs(world, instance, tolerated);
        if (distance > maxDistance || !isEligible(world, call, id, instance) || isRemoteAndFull(world, instance)) {
            continue;
        }
        const double end = predictedWorkMs(world, instance) + distance + world.random_.unit() * JitterMs;
        if (!best.isValid() || end < bestTotalMs) {
            best = id;
            bestTotalMs = end;
        }
    }
    return best;
}

} // namespace radishford

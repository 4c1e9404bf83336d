// Selects the backend server of a routed call by the predicted time until it responds.
#include "measure/latency_prediction_func.h"

#include "call/call_base.h"
#include "fleet/instance_func.h"
#include "measure/selection_func.h"
#include "world/world.h"

#include <algorithm>
#include <cmath>

namespace radishford {

namespace {

// The speed of a server changes within about this time in milliseconds, so the weight of a reported slowness decays at this rate.
constexpr double SlownessMemoryMs = 110.0;
// Relative service time expected without a recent report; 1 is the usual time.
constexpr double MeanSlowness = 1.6;
// Upper limit of a reported relative service time. A server that is slower does not start work, and its slow period ends soon.
constexpr double MaxCountedSlowness = 2.5;
// Latency in milliseconds assumed without a report.
constexpr double UnknownLatencyMs = 50.0;
// Load above which a wait for a slot is predicted, since hardly any slot is free, as a fraction of the server's limit.
constexpr double BusyLoad = 0.75;
// Round trip times in milliseconds assumed by distance.
constexpr double SameDomainRoundTripMs = 0.3;
constexpr double SameRegionRoundTripMs = 3.0;
constexpr double OtherRegionRoundTripMs = 17.0;
// Waiting in milliseconds that is accepted for each kilobyte that stays within its failure domain or its region. Traffic that leaves them
// is billed.
constexpr double CrossDomainMsPerKilobyte = 10.0;
constexpr double CrossRegionMsPerKilobyte = 14.0;
// Upper limits of that waiting as a fraction of the latency target, whatever the number of bytes.
constexpr double MaxTargetShareForDomain = 0.35;
constexpr double MaxTargetShareForRegion = 0.5;
// Latency target in milliseconds assumed when the route has none.
constexpr double UnknownTargetMs = 300.0;
// Estimated size of a response and of the messages of its exchange.
constexpr double ResponseKilobytes = 2.0;
// Distance cost in milliseconds that a new call accepts. The accepted cost grows by the time that the call has waited.
constexpr double InitialMaxDistanceMs = 10.0;
// Random addition in milliseconds, so that daemons with the same data do not all select the same server.
constexpr double JitterMs = 6.0;
// A server in another region that had requests waiting is not selected again for this long.
constexpr Millis FullReportLifetime{100};
// Share of failed requests that is not counted against a server.
constexpr double BaseToleratedFailureShare = 0.15;
// Waiting in milliseconds that is accepted to avoid a failure that is certain.
constexpr double CertainFailureCostMs = 1000.0;
// Time constant in milliseconds by which the weight of a reported failure share decays.
constexpr double FailureMemoryMs = 2000.0;
constexpr double BytesPerKilobyte = 1000.0;
constexpr double PercentScale = 100.0;

// Returns true when a server in another region had requests waiting by a recent report. An offer to it would cost a long round trip and
// likely be queued.
bool isRemoteAndFull(const World &world, const Instance &instance)
{
    const bool isRemote = instance.region_ != ownRegion(world);
    const bool isRecent = instance.reportReceivedAt_ != Millis::never() && world.now_ - instance.reportReceivedAt_ < FullReportLifetime;
    return isRemote && isRecent && instance.report_.queued_ > Slots();
}

// Returns the cost of reaching an instance in milliseconds: the round trip and the cost of traffic that leaves the failure domain or the
// region.
double distanceCostMs(const World &world, const Call &call, const Instance &instance)
{
    const Instance &self = *world.fleet_.rows_.get(world.fleet_.self_);
    const double kilobytes = static_cast<double>(call.bodySize_.value()) / BytesPerKilobyte + ResponseKilobytes;
    const Millis statedTarget = call.latencyTargetDeadline_ - call.startedAt_;
    const double target = statedTarget > Millis() ? statedTarget.fractionalMillis() : UnknownTargetMs;
    if (instance.domain_ == self.domain_) {
        return SameDomainRoundTripMs;
    }
    if (instance.region_ == self.region_) {
        return SameRegionRoundTripMs + std::min(kilobytes * CrossDomainMsPerKilobyte, target * MaxTargetShareForDomain);
    }
    return OtherRegionRoundTripMs + std::min(kilobytes * CrossRegionMsPerKilobyte, target * MaxTargetShareForRegion);
}

// Predicts the wait for the request limit of an instance's backend server in milliseconds. Own attempts since the report use up the limit too.
double limitWaitMs(const World &world, const Instance &instance)
{
    const LoadReport &report = instance.report_;
    if (report.requestInterval_ == Millis() || instance.reportReceivedAt_ == Millis::never()) {
        return 0;
    }
    const int started = std::min(instance.attemptsSinceReport_, instance.outstandingAttempts_);
    const double age = (world.now_ - instance.reportReceivedAt_).fractionalMillis();
    return std::max(0.0, report.limitWait_.fractionalMillis() + started * report.requestInterval_.fractionalMillis() - age);
}

// Predicts the service time of the call at an instance, and the wait for a slot before it, in milliseconds.
double predictedWorkMs(const World &world, const Instance &instance)
{
    if (instance.reportReceivedAt_ == Millis::never()) {
        return UnknownLatencyMs * MeanSlowness;
    }
    const LoadReport &report = instance.report_;
    const double age = (world.now_ - instance.reportReceivedAt_).fractionalMillis();
    const double weight = std::exp(-age / SlownessMemoryMs);
    const double reportedSlowness = report.slowness_ == Percent() ? 1.0 : std::min(MaxCountedSlowness, report.slowness_.value() / PercentScale);
    const double slowness = weight * reportedSlowness + (1 - weight) * MeanSlowness;
    const double latency = std::max(1.0, report.latency_.fractionalMillis());
    const double limit = std::max(1, report.limit_.value());
    const int started = std::min(instance.attemptsSinceReport_, instance.outstandingAttempts_);
    const double load = ((report.inFlight_ + report.queued_).value() * weight + started) / limit;
    const double wait = load > BusyLoad ? (load - BusyLoad + 0.1) * latency : 0;
    return latency * slowness + std::max(wait, limitWaitMs(world, instance));
}

// Returns the share of requests that the instance's backend server failed by its latest report. The weight of the report decays with its
// age, so that a server without requests is tried again.
double decayedFailureShare(const World &world, const Instance &instance)
{
    if (instance.reportReceivedAt_ == Millis::never()) {
        return 0;
    }
    const double age = (world.now_ - instance.reportReceivedAt_).fractionalMillis();
    return instance.report_.failureShare_.value() / PercentScale * std::exp(-age / FailureMemoryMs);
}

// Returns the failure share up to which a server is not treated as worse than the others of its service: twice the median plus a fixed
// tolerance. When all servers fail alike, none is avoided.
double toleratedFailureShare(const World &world, const std::vector<InstanceId> &members)
{
    std::vector<double> shares;
    shares.reserve(members.size());
    for (const InstanceId id : members) {
        shares.push_back(decayedFailureShare(world, *world.fleet_.rows_.get(id)));
    }
    const auto median = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), median, shares.end());
    return BaseToleratedFailureShare + 2 * *median;
}

// Converts the risk that the instance's backend server fails the call into milliseconds of waiting. Zero when outcomes are not considered.
double failureCostMs(const World &world, const Instance &instance, double tolerated)
{
    const double share = world.settings_.usesFailureShare_ ? decayedFailureShare(world, instance) : 0;
    return std::max(0.0, share - tolerated) * CertainFailureCostMs;
}

// Returns true when the instance is running and ready, is not excluded for a time, and the call has neither tried it, found it full, nor an
// attempt there.
bool isEligible(const World &world, const Call &call, InstanceId id, const Instance &instance)
{
    const auto contains = [&](const std::vector<InstanceName> &list) { return std::find(list.begin(), list.end(), instance.record_.name_) != list.end(); };
    const bool running = isRunning(instance) && instance.record_.backend_ == BackendState::Ready;
    const bool wasTried = contains(call.failedInstances_) || contains(call.fullInstances_);
    const bool awaitsLimit
        = std::any_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId attempt) { return world.calls_.attempts_.get(attempt)->awaitsLimit_; });
    if (awaitsLimit && limitWaitMs(world, instance) > 0) {
        // One place in the queue of a limited server is enough.
        return false;
    }
    const bool hasLiveAttempt
        = std::any_of(call.attempts_.begin(), call.attempts_.end(), [&](AttemptId attempt) { return world.calls_.attempts_.get(attempt)->instance_ == id; });
    return running && !wasTried && !hasLiveAttempt && instance.excludedUntil_ <= world.now_;
}

} // namespace

Millis expectedLimitWait(const World &world, const ServiceName &service)
{
    const auto members = world.fleet_.byService_.find(service);
    double lowest = -1;
    if (members == world.fleet_.byService_.end()) {
        return Millis();
    }
    for (const InstanceId id : members->second) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        if (isRunning(instance) && instance.record_.backend_ == BackendState::Ready) {
            const double wait = limitWaitMs(world, instance);
            lowest = lowest < 0 || wait < lowest ? wait : lowest;
        }
    }
    return Millis::fromFractionalMillis(std::max(0.0, lowest));
}

InstanceId selectByPredictedLatency(World &world, const Call &call)
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
        const bool ready = isRunning(instance) && instance.record_.backend_ == BackendState::Ready && instance.excludedUntil_ <= world.now_;
        const double distance = distanceCostMs(world, call, instance) + failureCostMs(world, instance, tolerated);
        minDistance = ready && (minDistance < 0 || distance < minDistance) ? distance : minDistance;
    }
    const double maxDistance = std::max(minDistance, InitialMaxDistanceMs + (world.now_ - call.startedAt_).fractionalMillis());
    InstanceId best;
    double bestTotalMs = 0;
    for (const InstanceId id : members->second) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        const double distance = distanceCostMs(world, call, instance) + failureCostMs(world, instance, tolerated);
        if (distance > maxDistance || !isEligible(world, call, id, instance) || isRemoteAndFull(world, instance)) {
            continue;
        }
        const double totalMs = predictedWorkMs(world, instance) + distance + world.random_.uniformReal() * JitterMs;
        if (!best.isValid() || totalMs < bestTotalMs) {
            best = id;
            bestTotalMs = totalMs;
        }
    }
    return best;
}

} // namespace radishford

// Probes backend servers whose load is not known from the responses to calls.
#include "call/backend_func.h"
#include "fleet/instance_func.h"
#include "measure/probe_func.h"
#include "measure/selection_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Time between two probe rounds.
constexpr Millis RoundInterval{100};
// An instance whose load report is older than this is probed.
constexpr Millis MaxReportAge{200};
// Minimum time between two probes of one backend server, whether or not it replies.
constexpr Millis MinProbeInterval{1000};
// A service without calls for this long is not probed.
constexpr Millis ActiveServiceTimeout{2000};
// Maximum number of probes in one round.
constexpr int MaxProbesPerRound = 4;

// Returns true when the instance is ready, its load report is missing or outdated, and its latest probe is long enough ago.
bool needsProbe(const World &world, const Instance &instance)
{
    const bool ready = isRunning(instance) && instance.record_.backend_ == BackendState::Ready;
    const bool stale = instance.reportReceivedAt_ == Millis::never() || world.now_ - instance.reportReceivedAt_ > MaxReportAge;
    const bool due = instance.lastProbedAt_ == Millis() || world.now_ - instance.lastProbedAt_ >= MinProbeInterval;
    return ready && stale && due;
}

// Returns true when one of the instances in this daemon's region is running and has a ready backend server.
bool hasReadyInOwnRegion(const World &world, const std::vector<InstanceId> &members)
{
    return std::any_of(members.begin(), members.end(), [&](InstanceId id) {
        const Instance &instance = *world.fleet_.rows_.get(id);
        return instance.region_ == ownRegion(world) && isRunning(instance) && instance.record_.backend_ == BackendState::Ready;
    });
}

// Sends a probe and records its time.
void sendProbe(World &world, Instance &instance)
{
    instance.lastProbedAt_ = world.now_;
    const Probe probe{++world.measurement_.lastProbeToken_, instance.record_.service_};
    world.counters_.add(Counter::ProbesSent);
    world.emit(SendDatagram{instance.record_.address_, instance.region_, probe, MessagePurpose::Measuring});
}

// Probes up to limit backend servers of a service, starting at a random one. Returns the number of probes sent.
int probeService(World &world, const ServiceName &service, int limit)
{
    const auto found = world.fleet_.byService_.find(service);
    if (found == world.fleet_.byService_.end() || found->second.empty()) {
        return 0;
    }
    const std::vector<InstanceId> &members = found->second;
    const bool ownRegionOnly = hasReadyInOwnRegion(world, members);
    const std::size_t start = world.random_.uniformBelow(members.size());
    int sent = 0;
    for (std::size_t step = 0; step < members.size() && sent < limit; ++step) {
        Instance &instance = *world.fleet_.rows_.get(members[(start + step) % members.size()]);
        const bool allowed = !ownRegionOnly || instance.region_ == ownRegion(world);
        if (allowed && needsProbe(world, instance)) {
            sendProbe(world, instance);
            ++sent;
        }
    }
    return sent;
}

} // namespace

void handleDatagram(World &world, const Address &from, const Probe &probe)
{
    if (probe.service_ != world.admissions_.backend_.service_) {
        return;
    }
    const ProbeReply reply{probe.token_, world.settings_.name_, currentLoadReport(world)};
    world.emit(SendDatagram{from, regionOfAddress(world, from), reply, MessagePurpose::Measuring});
}

void handleDatagram(World &world, const Address &from, const ProbeReply &reply)
{
    const InstanceId id = findInstanceByAddress(world, from);
    Instance *instance = world.fleet_.rows_.get(id);
    if (instance != nullptr && instance->record_.name_ == reply.sender_) {
        recordLoadReport(world, *instance, reply.report_);
    }
}

void markServiceActive(World &world, const ServiceName &service)
{
    MeasurementTable &measure = world.measurement_;
    measure.activeServices_[service] = world.now_;
    if (measure.nextProbeAt_ == Millis::never()) {
        measure.nextProbeAt_ = world.now_;
    }
}

void runProbes(World &world)
{
    MeasurementTable &measure = world.measurement_;
    if (world.now_ < measure.nextProbeAt_) {
        return;
    }
    std::erase_if(measure.activeServices_, [&](const auto &entry) { return world.now_ - entry.second > ActiveServiceTimeout; });
    if (measure.activeServices_.empty()) {
        measure.nextProbeAt_ = Millis::never();
        return;
    }
    measure.nextProbeAt_ = world.now_ + RoundInterval;
    int remaining = MaxProbesPerRound;
    for (const auto &[service, calledAt] : measure.activeServices_) {
        remaining -= probeService(world, service, remaining);
    }
}

Millis nextProbesDue(const World &world)
{
    return world.measurement_.nextProbeAt_;
}

} // namespace radishford

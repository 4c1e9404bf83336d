// The local backend server: announcements, readiness, limits and load.
#include "call/admission_func.h"
#include "call/backend_func.h"
#include "call/backend_notice_func.h"
#include "call/backend_succession_func.h"
#include "call/request_limit_func.h"
#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "measure/measurement_budget_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace radishford {

namespace {

// Share of the slots that a cold backend server gets at first.
constexpr double ColdSlotShare = 0.25;
// Interval at which the limit of a cold backend server is raised while requests are queued.
constexpr Millis ColdLimitInterval{100};
// For this long a deregistration overrides announcements whose start is not known to be later; those arrive a few seconds late at most.
constexpr Millis DeregistrationHold{10000};
constexpr std::size_t MaxEarlyDeregistrations = 8;
// Weight of a new latency in the moving average.
constexpr double LatencyWeight = 0.1;
// Weight of the latest outcome in the share of failed requests.
constexpr double OutcomeWeight = 0.08;
// Time without requests after which the share of failed ones decays to 1/e, about a third.
constexpr double OutcomeDecayMs = 2000.0;
// Bytes that a load report adds to a message.
constexpr Bytes ReportBytes{17};

// Refuses all queued requests because the backend server accepts no new work.
void refuseQueued(World &world, ResultCode code)
{
    std::vector<AdmissionId> waiting;
    world.admissions_.rows_.forEach([&](AdmissionId id, const Admission &row) {
        if (row.state_ == AdmissionState::Queued) {
            waiting.push_back(id);
        }
    });
    for (const AdmissionId id : waiting) {
        failAdmission(world, id, code);
    }
}

// Sets the backend server absent when its announcement has expired.
void checkLease(World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    const bool isAnnounced = backend.state_ != BackendState::Absent;
    if (isAnnounced && world.now_ - backend.announcedAt_ >= world.settings_.announcementLease_) {
        setBackendState(world, BackendState::Absent);
    }
}

// Logs once that a drain takes longer than the ticket allows. Running requests are not aborted.
void checkDrain(World &world)
{
    LocalBackend &backend = world.admissions_.backend_;
    const ServiceSpec *spec = findService(world, backend.service_);
    if (backend.drainingSince_ == Millis::never() || spec == nullptr || world.now_ < backend.drainingSince_ + spec->drainTimeout_) {
        return;
    }
    backend.drainingSince_ = Millis::never();
    world.emit(LogStateChange{"drain overdue: " + std::to_string(world.admissions_.inFlight_.value()) + " requests in flight"});
}

// True when an announcement is about another backend server, or is older than the latest one by start and sequence number.
bool isStale(const World &world, const BackendAnnounced &event)
{
    const WorldSettings &settings = world.settings_;
    if (!settings.isRouted_) {
        return false;
    }
    const LocalBackend &backend = world.admissions_.backend_;
    if (event.address_ != settings.backendAddress_) {
        return true;
    }
    const bool isKnown = backend.incarnation_ != Incarnation();
    if (!isKnown || event.incarnation_ != backend.incarnation_) {
        return isKnown && event.incarnation_ < backend.incarnation_;
    }
    return event.sequence_ <= backend.sequence_;
}

// Returns the current share of failed requests. It decays without requests, so that a server that gets none is tried again.
double currentFailureShare(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    return backend.failureShare_ * std::exp(-(world.now_ - backend.lastOutcomeAt_).fractionalMillis() / OutcomeDecayMs);
}

// True when a deregistration belongs to a start of the backend server, or names none. A server may start again under its id.
bool concernsStart(Incarnation deregistered, Incarnation start)
{
    return deregistered == Incarnation() || deregistered >= start;
}

// Remembers the deregistration of a backend server that has not been announced to this process.
void rememberDeregistration(World &world, const BackendDeregistered &event)
{
    auto &deregistrations = world.admissions_.earlyDeregistrations_;
    deregistrations.push_back(EarlyDeregistration{event.id_, event.incarnation_, world.now_});
    if (deregistrations.size() > MaxEarlyDeregistrations) {
        deregistrations.pop_front();
    }
}

// True when this start was deregistered recently. An announcement that arrives after that was delayed.
bool wasDeregistered(const World &world, const BackendId &id, Incarnation start)
{
    const auto &deregistrations = world.admissions_.earlyDeregistrations_;
    return std::any_of(deregistrations.begin(), deregistrations.end(), [&](const EarlyDeregistration &deregistration) {
        const bool isRecent = world.now_ - deregistration.at_ < DeregistrationHold;
        return deregistration.id_ == id && concernsStart(deregistration.incarnation_, start) && isRecent;
    });
}

} // namespace

BackendStart currentStart(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    return BackendStart{backend.id_, backend.incarnation_};
}

Slots currentSlotLimit(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    const ServiceSpec *spec = findService(world, backend.service_);
    const Millis warmAfter = spec == nullptr ? Millis() : spec->coldStart_;
    const Millis sinceReady = world.now_ - backend.readyAt_;
    if (sinceReady >= warmAfter) {
        return backend.slots_;
    }
    const double share = ColdSlotShare + (1 - ColdSlotShare) * sinceReady.fractionalMillis() / warmAfter.fractionalMillis();
    return Slots(std::max(1, static_cast<std::int32_t>(backend.slots_.value() * share)));
}

void setBackendState(World &world, BackendState state)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (backend.state_ == state) {
        return;
    }
    constexpr std::array<const char *, 4> Texts{"absent", "starting", "ready", "draining"};
    world.emit(LogStateChange{"backend server " + backend.service_.value() + " " + Texts[static_cast<std::size_t>(state)]});
    backend.state_ = state;
    if (state == BackendState::Ready) {
        backend.readyAt_ = world.now_;
    }
    backend.drainingSince_ = state == BackendState::Draining ? world.now_ : Millis::never();
    if (state == BackendState::Absent || state == BackendState::Draining) {
        refuseQueued(world, state == BackendState::Absent ? ResultCode::BackendNotReady : ResultCode::BackendDraining);
    }
    publishOwnRecord(world);
    pingOneDaemonPerDomain(world);
}

void recordLatency(LocalBackend &backend, Millis latency)
{
    const bool isFirst = backend.latency_ == Millis();
    const double mean
        = isFirst ? latency.fractionalMillis() : backend.latency_.fractionalMillis() * (1 - LatencyWeight) + latency.fractionalMillis() * LatencyWeight;
    constexpr double MicrosPerMilli = 1000.0;
    backend.latency_ = Millis::fromMicros(static_cast<std::int64_t>(mean * MicrosPerMilli));
}

void recordOutcome(World &world, bool succeeded)
{
    LocalBackend &backend = world.admissions_.backend_;
    const double previous = currentFailureShare(world);
    backend.failureShare_ = previous + ((succeeded ? 0.0 : 1.0) - previous) * OutcomeWeight;
    backend.lastOutcomeAt_ = world.now_;
}

void checkAnnouncementAndDrain(World &world)
{
    checkLease(world);
    checkDrain(world);
}

void handle(World &world, const BackendAnnounced &event)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (isStale(world, event)) {
        return;
    }
    const bool hasMoved = backend.service_ != event.service_ || backend.address_ != event.address_ || backend.slots_ != event.slots_;
    const bool hasRestarted = backend.incarnation_ != event.incarnation_ || backend.id_ != event.id_;
    if (hasMoved || hasRestarted) {
        bindBackend(world, event);
        backend.isLeaving_ = backend.isLeaving_ || wasRecordedLeaving(world) || wasDeregistered(world, event.id_, event.incarnation_);
    }
    backend.sequence_ = event.sequence_;
    backend.announcedAt_ = world.now_;
    setBackendState(world, backend.isLeaving_ ? BackendState::Draining : event.state_);
}

void handle(World &world, const BackendDeregistered &event)
{
    LocalBackend &backend = world.admissions_.backend_;
    const bool isAnnounced = backend.id_ == event.id_;
    if (!isAnnounced || event.incarnation_ > backend.incarnation_) {
        // The deregistration may arrive before any announcement of this start, as at a daemon that has just restarted.
        rememberDeregistration(world, event);
    }
    if (!isAnnounced || !concernsStart(event.incarnation_, backend.incarnation_)) {
        return;
    }
    recordLeaving(world, hashOf(currentStart(world)));
}

Millis nextAdmitDue(const World &world)
{
    const AdmissionTable &table = world.admissions_;
    if (table.backend_.state_ == BackendState::Absent) {
        return Millis::never();
    }
    const Millis expiresAt = table.backend_.announcedAt_ + world.settings_.announcementLease_;
    const bool isCold = currentSlotLimit(world) < table.backend_.slots_;
    const bool risesForQueue = isCold && table.queued_ > Slots();
    const Millis due = std::min(expiresAt, nextRequestLimitDue(world));
    return risesForQueue ? std::min(due, world.now_ + ColdLimitInterval) : due;
}

LoadReport currentLoadReport(const World &world)
{
    const AdmissionTable &table = world.admissions_;
    const LocalBackend &backend = table.backend_;
    constexpr double PercentScale = 100.0;
    const Percent fullWork(static_cast<std::int32_t>(backend.nearFullSlownessSum_ * PercentScale));
    const Percent failureShare(static_cast<std::int32_t>(currentFailureShare(world) * PercentScale));
    LoadReport report{table.inFlight_, table.queued_, currentSlotLimit(world), backend.latency_, backend.slowness_, backend.nearFullSamples_,
                      fullWork,        failureShare};
    report.requestInterval_ = requestInterval(world);
    report.limitWait_ = timeUntilToken(world, table.queued_.value(), 0);
    return report;
}

LoadReport loadReportFor(World &world, const InstanceName &receiver)
{
    const auto found = world.fleet_.byName_.find(receiver);
    const RegionId region = found == world.fleet_.byName_.end() ? ownRegion(world) : world.fleet_.rows_.get(found->second)->region_;
    if (!tryTakeMeasurementBudget(world, region, ReportBytes, false)) {
        world.counters_.add(Counter::ReportsDenied);
        return LoadReport{};
    }
    Traffic &traffic = world.counters_.traffic_[TrafficKey{MessagePurpose::Measuring, region}];
    ++traffic.messages_;
    traffic.bytes_ += ReportBytes;
    return currentLoadReport(world);
}

} // namespace radishford

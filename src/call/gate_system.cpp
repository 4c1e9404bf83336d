// Decides when work may start at the backend server beside this daemon.
#include "call/gate_func.h"

#include "call/admission_func.h"
#include "call/backend_func.h"
#include "call/suspect_func.h"
#include "ticket/route_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// A figure older than this does not tell the state any more: phases last a fraction of a second.
constexpr Millis MaxLoadAge{12};
// Without allowance for a check, a figure up to this age is taken all the same.
constexpr Millis MaxLoadAgeWithoutBudget{60};
// Time between checks while requests wait for a phase to end.
constexpr Millis CheckInterval{12};
// A check without an answer for this long has failed.
constexpr Millis CheckTimeout{500};
// Work that takes this many times as long as usual for the server is not started.
constexpr double SlowFactor = 1.8;
// The figure taken as usual rises towards the present one by this part with each newer figure.
constexpr double BaselineRise = 0.004;
// Checks that may be sent at once after a pause.
constexpr double CheckBurst = 20.0;
// Answers over which the usual work of a class is averaged.
constexpr std::int64_t ServiceTimeSamples = 16;
constexpr double PercentScale = 100.0;
// Some servers slow down by more than they gain when nearly all slots are taken. Above this part of the slots they are near full.
constexpr double NearCapacityShare = 0.78;
// Work that takes this many times as long near full is not worth the slots gained.
constexpr double NearCapacityMaxSlowdown = 1.1;
// Answers of one server in a series of trials, and of all servers of a service that tell whether they slow down near full.
constexpr std::int32_t OwnNearCapacitySamples = 6;
constexpr std::int32_t ServiceNearCapacitySamples = 24;
// Answers counted of one server, so that a report can carry them.
constexpr std::int32_t MaxNearCapacitySamples = 100;
// Time between judgements by the reports at hand.
constexpr Millis FullLoadCheckInterval{100};
// An answer that took longer than this, relative to the usual, counts as this much: its work was waiting for something else.
constexpr double MaxRelativeServiceTime = 3.0;

// True when checks can tell anything: the path is known and the server has told its speed before, or was never asked.
bool canCheck(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    return world.settings_.checksPerSecond_ > 0 && !healthPathOf(world.routes_, backend.service_).empty();
}

// Sends a check.
void sendCheck(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    const LocalBackend &backend = world.admissions_.backend_;
    checks.running_ = true;
    checks.startedAt_ = world.now_;
    checks.nextAt_ = Millis::never();
    world.counters_.add(Counter::BackendChecks);
    world.emit(CheckBackend{backend.address_, healthPathOf(world.routes_, backend.service_)});
}

// Ends the requests that waited to learn whether the backend server crashed.
void endInterrupted(World &world, bool isAlive)
{
    const std::vector<InterruptedRequest> broken = std::exchange(world.admissions_.checks_.interrupted_, {});
    for (const InterruptedRequest &request : broken) {
        const ResultCode code = isAlive ? ResultCode::AnswerLost : ResultCode::BackendFailed;
        ++world.counters_.results_[code];
        if (isAlive) {
            world.emit(FailExchange{request.exchange_, Failed{request.attempt_, numberOf(code)}});
        } else {
            markSuspect(world, request.fingerprint_, request.isBesideSuspect_, request.exchange_, request.attempt_);
        }
    }
}

// Slots up to which a server is not near full.
Slots nearCapacityThreshold(const World &world)
{
    const double slots = currentSlotLimit(world).value() * NearCapacityShare;
    return Slots(std::max(1, static_cast<std::int32_t>(slots)));
}

// Adds up what all servers of the service have found near full.
bool allowsFullLoad(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    std::int32_t trials = backend.fullTrials_;
    double serviceTime = backend.fullWork_;
    const auto members = world.fleet_.byService_.find(backend.service_);
    if (members != world.fleet_.byService_.end()) {
        for (const InstanceId id : members->second) {
            const LoadReport &report = world.fleet_.rows_.get(id)->report_;
            const bool other = id != world.fleet_.self_;
            trials += other ? report.fullTrials_ : 0;
            serviceTime += other ? report.fullWork_.value() / PercentScale : 0;
        }
    }
    if (trials < ServiceNearCapacitySamples) {
        return backend.fullTrials_ < OwnNearCapacitySamples;
    }
    return serviceTime < NearCapacityMaxSlowdown * trials;
}

// Learns from an answer near full whether the server slows down by that.
void recordNearCapacity(World &world, double relative)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (backend.fullTrials_ < MaxNearCapacitySamples) {
        ++backend.fullTrials_;
        backend.fullWork_ += std::min(MaxRelativeServiceTime, relative);
    }
}

// Sets the rate of checks once it is known.
void setCheckRate(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    checks.budget_.setRate(world.settings_.checksPerSecond_, CheckBurst, world.now_);
}

} // namespace

GateState gateState(World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    if (!canCheck(world)) {
        return GateState::Open;
    }
    if (world.admissions_.checks_.lacksLoad_) {
        return GateState::Open;
    }
    const bool isReported = backend.slownessAt_ != Millis();
    const Millis age = world.now_ - backend.slownessAt_;
    setCheckRate(world);
    const bool hasBudget = world.admissions_.checks_.budget_.has(1, world.now_);
    if (!isReported || age > (hasBudget ? MaxLoadAge : MaxLoadAgeWithoutBudget)) {
        return hasBudget || world.admissions_.checks_.running_ ? GateState::Unknown : GateState::Open;
    }
    if (backend.slowness_ == Percent()) {
        return GateState::Open;
    }
    return backend.slowness_.value() > backend.baselineSlowness_ * SlowFactor ? GateState::Closed : GateState::Open;
}

Slots usableSlots(World &world)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (world.now_ >= backend.nextFullLoadCheckAt_) {
        backend.allowsFullLoad_ = allowsFullLoad(world);
        backend.nextFullLoadCheckAt_ = world.now_ + FullLoadCheckInterval;
    }
    return backend.allowsFullLoad_ ? currentSlotLimit(world) : nearCapacityThreshold(world);
}

bool isNearCapacity(const World &world)
{
    return world.admissions_.inFlight_ > nearCapacityThreshold(world);
}

void recordServiceTime(World &world, const Admission &row)
{
    const double slowness = std::max(1.0, row.startSlowness_.value() / PercentScale);
    const Millis serviceTime = Millis::fromFraction((world.now_ - row.handedOverAt_).fraction() / slowness);
    const auto [entry, added] = world.admissions_.typicalServiceTimes_.try_emplace(row.offer_.class_, serviceTime);
    if (row.startedNearCapacity_ && entry->second > Millis()) {
        recordNearCapacity(world, serviceTime.fraction() / entry->second.fraction());
    } else if (!added) {
        const std::int64_t step = (serviceTime.micros() - entry->second.micros()) / ServiceTimeSamples;
        entry->second = Millis::fromMicros(entry->second.micros() + step);
    }
}

Millis typicalServiceTime(const World &world, const Offer &offer)
{
    const auto found = world.admissions_.typicalServiceTimes_.find(offer.class_);
    return found == world.admissions_.typicalServiceTimes_.end() ? Millis() : found->second;
}

void requestCheck(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    if (checks.running_ || !canCheck(world)) {
        return;
    }
    if (checks.budget_.take(1, world.now_)) {
        sendCheck(world);
    }
}

void scheduleCheck(World &world, GateState gate)
{
    CheckTable &checks = world.admissions_.checks_;
    const bool waits = world.admissions_.queued_ > Slots();
    const bool isWorthwhile = waits && gate == GateState::Closed && !checks.running_;
    checks.nextAt_ = isWorthwhile ? std::max(world.now_, checks.startedAt_ + CheckInterval) : Millis::never();
}

void checkAfterInterruption(World &world, const InterruptedRequest &broken)
{
    world.admissions_.checks_.interrupted_.push_back(broken);
    if (!canCheck(world)) {
        endInterrupted(world, false);
    } else if (!world.admissions_.checks_.running_) {
        sendCheck(world);
    }
}

void handle(World &world, const BackendChecked &event)
{
    CheckTable &checks = world.admissions_.checks_;
    const LocalBackend &backend = world.admissions_.backend_;
    checks.running_ = false;
    const bool isSameServer = event.ok_ && (backend.id_.value().empty() || event.id_ == backend.id_);
    endInterrupted(world, isSameServer);
    if (isSameServer) {
        recordLoad(world, event.load_);
        checks.lacksLoad_ = event.load_.slowness_ == Percent();
    }
    // Without a figure the gate stays open for a while rather than hold requests back.
    world.admissions_.backend_.slownessAt_ = world.now_;
}

void recordLoad(World &world, const BackendLoad &load)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (load.slowness_ == Percent()) {
        return;
    }
    const double isReported = load.slowness_.value();
    backend.slowness_ = load.slowness_;
    backend.slownessAt_ = world.now_;
    const bool isLower = backend.baselineSlowness_ == 0 || isReported < backend.baselineSlowness_;
    backend.baselineSlowness_ = isLower ? isReported : backend.baselineSlowness_ + (isReported - backend.baselineSlowness_) * BaselineRise;
}

void runGate(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    if (checks.running_ && world.now_ - checks.startedAt_ >= CheckTimeout) {
        handle(world, BackendChecked{});
    }
    if (world.now_ >= checks.nextAt_) {
        checks.nextAt_ = Millis::never();
        requestCheck(world);
    }
}

Millis nextGate(const World &world)
{
    const CheckTable &checks = world.admissions_.checks_;
    const Millis timeout = checks.running_ ? checks.startedAt_ + CheckTimeout : Millis::never();
    return std::min(timeout, checks.nextAt_);
}

} // namespace radishford

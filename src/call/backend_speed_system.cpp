// Decides when work may start at the local backend server.
#include "call/backend_speed_func.h"

#include "call/admission_func.h"
#include "call/backend_func.h"
#include "call/suspect_func.h"
#include "ticket/route_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// A load report older than this is out of date: slow periods last a fraction of a second.
constexpr Millis MaxLoadAge{12};
// When the check budget is spent, a load report up to this age is still used.
constexpr Millis MaxLoadAgeWithoutBudget{60};
// Time between checks while requests wait for the end of a slow period.
constexpr Millis CheckInterval{12};
// A check without a response for this long has failed.
constexpr Millis CheckTimeout{500};
// Time that requests wait for a check without a verdict. Their outbound sides give up 100 ms after the offer, which may take 20 ms to arrive.
constexpr Millis MaxCheckTimeWithoutVerdict{40};
// No work is started while the reported slowness is above this multiple of the server's baseline.
constexpr double SlowFactor = 1.8;
// The baseline rises towards each higher report by this share of the difference.
constexpr double BaselineRise = 0.004;
// Maximum number of checks in one burst after a pause.
constexpr double CheckBurst = 20.0;
// Number of responses over which the typical service time of a class is averaged.
constexpr std::int64_t ServiceTimeSamples = 16;
constexpr double PercentScale = 100.0;
// Some servers lose more speed than they gain in concurrency when nearly all slots are taken. Above this share of slots a server is nearly
// full.
constexpr double NearFullShare = 0.78;
// When work on a nearly full server takes at least this multiple of its typical service time, the additional slots are not worth it.
constexpr double NearFullMaxSlowdown = 1.1;
// Minimum number of responses measured on nearly full servers: by one server before it stops to fill all slots for its own measurements, and
// by all servers of the service before their sum decides.
constexpr std::int32_t OwnNearFullSamples = 6;
constexpr std::int32_t ServiceNearFullSamples = 24;
// Maximum number of responses that one server counts, so that a load report can carry the count.
constexpr std::int32_t MaxNearFullSamples = 100;
// Time between evaluations of the available load reports.
constexpr Millis FullLoadCheckInterval{100};
// Maximum relative service time that one response counts with: a longer one was waiting for something else.
constexpr double MaxRelativeServiceTime = 3.0;

// Sends a check.
void sendCheck(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    const LocalBackend &backend = world.admissions_.backend_;
    checks.running_ = true;
    ++checks.number_;
    checks.startedAt_ = world.now_;
    checks.backend_ = currentStart(world);
    checks.nextAt_ = Millis::never();
    world.counters_.add(Counter::BackendChecks);
    world.emit(CheckBackendHealth{backend.address_, checks.backend_, findHealthPath(world.routes_, backend.service_), checks.number_});
}

// Ends the requests whose result depended on whether their backend server crashed. The check tells of the current one; an earlier one has ended.
void endInterrupted(World &world, bool isServerUp)
{
    const std::vector<InterruptedRequest> interrupted = std::exchange(world.admissions_.checks_.interrupted_, {});
    for (const InterruptedRequest &request : interrupted) {
        const bool isUp = isServerUp && request.backend_ == currentStart(world);
        const ResultCode code = isUp ? ResultCode::AnswerLost : ResultCode::BackendFailed;
        ++world.counters_.results_[code];
        if (isUp) {
            world.emit(FailExchange{request.exchange_, ExchangeFailure{request.attempt_, numberOf(code)}});
        } else {
            markSuspect(world, request);
        }
    }
}

// Starts the check that decides the interrupted requests. Without checks they count as crashes.
void decideInterrupted(World &world)
{
    if (canCheckBackend(world)) {
        sendCheck(world);
    } else {
        endInterrupted(world, false);
    }
}

// Returns the highest number of taken slots at which a server is not yet nearly full.
Slots nearFullThreshold(const World &world)
{
    const double slots = currentSlotLimit(world).value() * NearFullShare;
    return Slots(std::max(1, static_cast<std::int32_t>(slots)));
}

// True when all slots may be used, according to what all servers of the service measured while nearly full.
bool allowsFullLoad(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    std::int32_t samples = backend.nearFullSamples_;
    double serviceTime = backend.nearFullSlownessSum_;
    const auto members = world.fleet_.byService_.find(backend.service_);
    if (members != world.fleet_.byService_.end()) {
        for (const InstanceId id : members->second) {
            const LoadReport &report = world.fleet_.rows_.get(id)->report_;
            const bool isOther = id != world.fleet_.self_;
            samples += isOther ? report.nearFullSamples_ : 0;
            serviceTime += isOther ? report.nearFullSlownessSum_.value() / PercentScale : 0;
        }
    }
    if (samples < ServiceNearFullSamples) {
        return backend.nearFullSamples_ < OwnNearFullSamples;
    }
    return serviceTime < NearFullMaxSlowdown * samples;
}

// Records the relative service time of a request that started while the server was nearly full.
void recordNearFullSample(World &world, double relative)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (backend.nearFullSamples_ < MaxNearFullSamples) {
        ++backend.nearFullSamples_;
        backend.nearFullSlownessSum_ += std::min(MaxRelativeServiceTime, relative);
    }
}

// Applies the check rate from the settings, which can change while the daemon runs.
void setCheckRate(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    checks.budget_.setRate(world.settings_.backendChecksPerSecond_, CheckBurst, world.now_);
}

} // namespace

bool canCheckBackend(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    return world.settings_.backendChecksPerSecond_ > 0 && !findHealthPath(world.routes_, backend.service_).empty();
}

BackendSpeed backendSpeed(World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    if (!canCheckBackend(world)) {
        return BackendSpeed::Normal;
    }
    if (world.admissions_.checks_.lacksLoad_) {
        return BackendSpeed::Normal;
    }
    const bool isReported = backend.slownessAt_ != Millis();
    const Millis age = world.now_ - backend.slownessAt_;
    setCheckRate(world);
    const bool hasBudget = world.admissions_.checks_.budget_.hasTokens(1, world.now_);
    if (!isReported || age > (hasBudget ? MaxLoadAge : MaxLoadAgeWithoutBudget)) {
        return hasBudget || world.admissions_.checks_.running_ ? BackendSpeed::Unknown : BackendSpeed::Normal;
    }
    if (backend.slowness_ == Percent()) {
        return BackendSpeed::Normal;
    }
    return backend.slowness_.value() > backend.baselineSlowness_ * SlowFactor ? BackendSpeed::Slow : BackendSpeed::Normal;
}

Slots usableSlots(World &world)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (world.now_ >= backend.nextFullLoadCheckAt_) {
        backend.allowsFullLoad_ = allowsFullLoad(world);
        backend.nextFullLoadCheckAt_ = world.now_ + FullLoadCheckInterval;
    }
    return backend.allowsFullLoad_ ? currentSlotLimit(world) : nearFullThreshold(world);
}

bool isNearFull(const World &world)
{
    return world.admissions_.inFlight_ > nearFullThreshold(world);
}

void recordServiceTime(World &world, const Admission &row)
{
    const double slowness = std::max(1.0, row.slownessAtHandOver_.value() / PercentScale);
    const Millis serviceTime = Millis::fromFractionalMillis((world.now_ - row.handedOverAt_).fractionalMillis() / slowness);
    const auto [entry, added] = world.admissions_.typicalServiceTimes_.try_emplace(row.offer_.class_, serviceTime);
    if (row.wasNearFullAtHandOver_ && entry->second > Millis()) {
        recordNearFullSample(world, serviceTime.fractionalMillis() / entry->second.fractionalMillis());
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
    if (checks.running_ || !canCheckBackend(world)) {
        return;
    }
    if (checks.budget_.tryTake(1, world.now_)) {
        sendCheck(world);
    }
}

void startCheck(World &world)
{
    if (!world.admissions_.checks_.running_) {
        sendCheck(world);
    }
}

bool isCheckOverdue(const World &world)
{
    const CheckTable &checks = world.admissions_.checks_;
    return checks.running_ && world.now_ >= checks.startedAt_ + MaxCheckTimeWithoutVerdict;
}

void scheduleCheck(World &world, BackendSpeed speed)
{
    CheckTable &checks = world.admissions_.checks_;
    const bool waits = world.admissions_.queued_ > Slots();
    const bool isWorthwhile = waits && speed == BackendSpeed::Slow && !checks.running_;
    checks.nextAt_ = isWorthwhile ? std::max(world.now_, checks.startedAt_ + CheckInterval) : Millis::never();
}

void deferResultUntilCheck(World &world, const InterruptedRequest &interrupted)
{
    CheckTable &checks = world.admissions_.checks_;
    if (checks.running_) {
        checks.interruptedSinceCheck_.push_back(interrupted);
        return;
    }
    checks.interrupted_.push_back(interrupted);
    decideInterrupted(world);
}

void handle(World &world, const BackendChecked &event)
{
    CheckTable &checks = world.admissions_.checks_;
    LocalBackend &backend = world.admissions_.backend_;
    if (!checks.running_ || event.number_ != checks.number_) {
        world.counters_.add(Counter::LateMessages);
        return;
    }
    checks.running_ = false;
    // The check of an earlier start tells nothing about the current one.
    const bool isOfCurrent = checks.backend_ == currentStart(world);
    const bool namesServer = !backend.id_.value().empty() && !event.id_.value().empty();
    const bool isUp = isOfCurrent && (namesServer ? event.id_ == backend.id_ : event.ok_ && backend.id_.value().empty());
    backend.hasBeenChecked_ = backend.hasBeenChecked_ || isOfCurrent;
    if (isOfCurrent && namesServer && !isUp) {
        // The address belongs to another server; only a newer announcement binds it again.
        setBackendState(world, BackendState::Absent);
    }
    endInterrupted(world, isUp);
    checks.interrupted_ = std::exchange(checks.interruptedSinceCheck_, {});
    if (!checks.interrupted_.empty()) {
        decideInterrupted(world);
    }
    if (isUp && event.ok_) {
        recordBackendLoad(world, event.load_);
        checks.lacksLoad_ = event.load_.slowness_ == Percent();
    }
    if (isOfCurrent) {
        // Without a load report the speed counts as normal for a while, instead of blocking requests.
        backend.slownessAt_ = world.now_;
    }
}

void recordBackendLoad(World &world, const BackendLoad &load)
{
    LocalBackend &backend = world.admissions_.backend_;
    if (load.slowness_ == Percent()) {
        return;
    }
    const double reported = load.slowness_.value();
    backend.slowness_ = load.slowness_;
    backend.slownessAt_ = world.now_;
    const bool isLower = backend.baselineSlowness_ == 0 || reported < backend.baselineSlowness_;
    backend.baselineSlowness_ = isLower ? reported : backend.baselineSlowness_ + (reported - backend.baselineSlowness_) * BaselineRise;
}

void runBackendSpeed(World &world)
{
    CheckTable &checks = world.admissions_.checks_;
    if (checks.running_ && world.now_ - checks.startedAt_ >= CheckTimeout) {
        handle(world, BackendChecked{checks.number_, false, {}, {}});
    }
    if (world.now_ >= checks.nextAt_) {
        checks.nextAt_ = Millis::never();
        requestCheck(world);
    }
}

Millis nextBackendSpeedDue(const World &world)
{
    const CheckTable &checks = world.admissions_.checks_;
    const Millis timeout = checks.running_ ? checks.startedAt_ + CheckTimeout : Millis::never();
    const bool mayNeedVerdicts = checks.running_ && world.admissions_.queued_ > Slots() && !isCheckOverdue(world);
    const Millis verdictsAt = mayNeedVerdicts ? checks.startedAt_ + MaxCheckTimeWithoutVerdict : Millis::never();
    return std::min({timeout, verdictsAt, checks.nextAt_});
}

} // namespace radishford

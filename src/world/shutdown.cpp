// Graceful shutdown of a daemon: requests in flight are completed.
#include "world/shutdown_func.h"

#include "call/admission_func.h"
#include "call/attempt_func.h"
#include "call/call_func.h"
#include "fleet/gossip_func.h"
#include "store/claim_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <string>

namespace radishford {

namespace {

// When no call has arrived for this long, callers have switched to other daemons. They poll the readiness page once a second.
constexpr Millis CallerSwitchTime{1200};
// Time between the end of the last call and the latest exit, in which its response is written.
constexpr Millis ResponseMargin{200};
// Time between the interruption of calls that outlast the shutdown and the latest exit, in which their failure responses are written.
constexpr Millis InterruptionMargin{100};
// Maximum time for which a daemon without calls waits until the store has released its idempotency keys.
constexpr Millis MaxReleaseTime{10000};
// Time from the exit until a restarted daemon serves.
constexpr Millis RestartTime{1000};

// Latest time of the exit; never() without a maximum duration of the shutdown.
Millis latestExit(const World &world)
{
    const Millis maxTime = world.settings_.maxShutdownTime_;
    return maxTime == Millis::never() ? Millis::never() : world.shutdownRequestedAt_ + maxTime;
}

// Time by which a call must end, so that its response is written before the latest exit; never() without a shutdown or a latest exit.
Millis callsEndBy(const World &world)
{
    const Millis latest = isShuttingDown(world) ? latestExit(world) : Millis::never();
    return latest == Millis::never() ? latest : latest - ResponseMargin;
}

// Time at which calls that still run are interrupted; never() without a latest exit.
Millis interruptionTime(const World &world)
{
    const Millis latest = latestExit(world);
    return latest == Millis::never() ? latest : latest - InterruptionMargin;
}

// True when new calls may still arrive. Callers of a routed deployment stop only after they have read the readiness page.
bool mayReceiveCalls(const World &world)
{
    return world.settings_.refuseCallsAfter_ != Millis::never() && !refusesCalls(world) && world.now_ < world.lastCallAt_ + CallerSwitchTime;
}

// Earliest time at which the daemon may exit.
Millis earliestExit(const World &world)
{
    const Millis earliest = world.shutdownRequestedAt_ + world.settings_.minShutdownTime_;
    const Millis callersSwitchedAt = std::min(world.lastCallAt_ + CallerSwitchTime, world.shutdownRequestedAt_ + world.settings_.refuseCallsAfter_);
    return mayReceiveCalls(world) ? std::max(earliest, callersSwitchedAt) : earliest;
}

// True when no call and no request of another daemon is in progress.
bool isIdle(const World &world)
{
    return world.calls_.calls_.size() == 0 && world.admissions_.rows_.size() == 0;
}

// Time at which the exit no longer waits for the release of idempotency keys; never() when none waits.
Millis releasesEndBy(const World &world)
{
    return world.idleSince_ == Millis::never() || !hasPendingClaims(world) ? Millis::never() : world.idleSince_ + MaxReleaseTime;
}

// True while the store has still to respond about tickets or idempotency keys. Submissions expire by themselves.
bool awaitsStore(const World &world)
{
    const bool awaitsReleases = hasPendingClaims(world) && world.now_ < releasesEndBy(world);
    return !world.tickets_.submissions_.empty() || awaitsReleases;
}

// Returns the open calls that a predicate selects.
std::vector<CallId> openCalls(const World &world, bool (*isSelected)(const World &, const Call &))
{
    std::vector<CallId> ids;
    world.calls_.calls_.forEach([&](CallId id, const Call &call) {
        if (isSelected(world, call)) {
            ids.push_back(id);
        }
    });
    return ids;
}

// Fails calls that no backend server has received. Their callers can still retry elsewhere, or here after the restart.
void failWaitingCalls(World &world)
{
    const auto isWaiting = [](const World &table, const Call &call) { return !call.mayHaveRun_ && !anyMayRun(table, call); };
    for (const CallId id : openCalls(world, isWaiting)) {
        failCall(world, id, ResultCode::DaemonLeaving);
    }
}

// Fails requests that are not handed over yet, so that their outbound daemons know that they were not run.
void failWaitingAdmissions(World &world)
{
    std::vector<AdmissionId> waiting;
    world.admissions_.rows_.forEach([&](AdmissionId id, const Admission &row) {
        if (row.state_ != AdmissionState::Running) {
            waiting.push_back(id);
        }
    });
    for (const AdmissionId id : waiting) {
        failAdmission(world, id, ResultCode::DaemonLeaving);
    }
}

// Ends all open calls whose responses are not there: with a failure response, or by closing the connection when a part of the response has been sent.
void endOpenCalls(World &world)
{
    const auto isOpen = [](const World & /*table*/, const Call & /*call*/) { return true; };
    for (const CallId id : openCalls(world, isOpen)) {
        const Call &call = *world.calls_.calls_.get(id);
        if (call.hasWholeResponse_) {
            // The front end writes it until the latest exit.
            continue;
        }
        if (call.state_ == CallState::Relaying) {
            abortRelayedCall(world, id, ResultCode::AnswerLost, UnansweredReason::ShutdownOverdue);
        } else {
            failCall(world, id, ResultCode::DaemonLeaving);
        }
    }
}

// Logs how many calls and admissions the exit interrupts, and ends the calls and the submissions of tickets.
void interruptWork(World &world)
{
    const std::string calls = std::to_string(world.calls_.calls_.size());
    const std::string admissions = std::to_string(world.admissions_.rows_.size());
    world.emit(LogStateChange{"shutdown time is over with " + calls + " calls and " + admissions + " admissions in progress"});
    endOpenCalls(world);
    endSubmissions(world);
}

} // namespace

void handle(World &world, const SettingsChanged &event)
{
    WorldSettings &current = world.settings_;
    const WorldSettings &changed = event.settings_;
    current.seeds_ = changed.seeds_;
    current.announcementLease_ = changed.announcementLease_;
    current.retryWindowShare_ = changed.retryWindowShare_;
    current.retryWindowAllowance_ = changed.retryWindowAllowance_;
    current.retryWindow_ = changed.retryWindow_;
    current.backendChecksPerSecond_ = changed.backendChecksPerSecond_;
    if (current.backendService_ != changed.backendService_) {
        current.backendService_ = changed.backendService_;
        world.admissions_.backend_.namesCallers_ = false;
    }
    current.backendAddress_ = changed.backendAddress_;
    if (isShuttingDown(world)) {
        // Calls were accepted under the durations that were set when the shutdown was requested.
        return;
    }
    current.minShutdownTime_ = changed.minShutdownTime_;
    current.refuseCallsAfter_ = changed.refuseCallsAfter_;
    current.maxShutdownTime_ = changed.maxShutdownTime_;
}

bool refusesCalls(const World &world)
{
    const WorldSettings &settings = world.settings_;
    return world.hasExited_
        || (isShuttingDown(world) && (settings.refuseCallsAfter_ == Millis::never() || world.now_ >= world.shutdownRequestedAt_ + settings.refuseCallsAfter_));
}

bool refusesCall(const World &world, Millis deadline)
{
    return refusesCalls(world) || deadline > callsEndBy(world);
}

Millis timeUntilRestart(const World &world)
{
    Millis exitAt = std::max(earliestExit(world), world.now_);
    world.calls_.calls_.forEach([&](CallId /*id*/, const Call &call) { exitAt = std::max(exitAt, call.deadline_); });
    world.admissions_.rows_.forEach([&](AdmissionId /*id*/, const Admission &row) { exitAt = std::max(exitAt, row.deadline_); });
    const Millis latest = std::max(latestExit(world), world.now_);
    return std::min(exitAt, latest) - world.now_ + RestartTime;
}

void handle(World &world, const ShutdownRequested & /*event*/)
{
    if (isShuttingDown(world)) {
        return;
    }
    world.shutdownRequestedAt_ = world.now_;
    world.emit(LogStateChange{"shutdown requested: draining"});
    publishOwnRecord(world);
    pingOneDaemonPerDomain(world);
}

void runShutdown(World &world)
{
    if (!isShuttingDown(world) || world.hasExited_) {
        return;
    }
    if (world.now_ >= callsEndBy(world)) {
        failWaitingCalls(world);
        failWaitingAdmissions(world);
    }
    world.idleSince_ = isIdle(world) ? std::min(world.idleSince_, world.now_) : Millis::never();
    const bool isComplete = isIdle(world) && !awaitsStore(world);
    const bool isOverdue = world.now_ >= interruptionTime(world);
    if (!isOverdue && (!isComplete || world.now_ < earliestExit(world))) {
        return;
    }
    if (!isComplete) {
        interruptWork(world);
    }
    if (hasPendingClaims(world)) {
        world.emit(LogStateChange{"the store has not released all idempotency keys: some stay claimed"});
    }
    world.hasExited_ = true;
    publishOwnRecord(world);
    pingOneDaemonPerDomain(world);
    world.emit(LogStateChange{"shutdown complete: leaving the fleet"});
    world.emit(Exit{latestExit(world)});
}

Millis nextShutdownDue(const World &world)
{
    if (!isShuttingDown(world) || world.hasExited_) {
        return Millis::never();
    }
    const Millis interruption = world.now_ < callsEndBy(world) ? callsEndBy(world) : interruptionTime(world);
    const Millis next = world.now_ < releasesEndBy(world) ? std::min(interruption, releasesEndBy(world)) : interruption;
    const Millis earliest = earliestExit(world);
    return world.now_ < earliest ? std::min(earliest, next) : next;
}

} // namespace radishford

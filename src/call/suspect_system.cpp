// Suspects: requests that were running when a backend server failed. Admission runs them one at a time, and they are quarantined after
// repeated failures. Not related to Health::Suspect, which is the state of an instance.
#include "call/admission_func.h"
#include "call/suspect_func.h"
#include "call/suspect_merge_func.h"
#include "fleet/instance_func.h"
#include "store/quarantine_store_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace radishford {

namespace {

// Maximum number of suspects that are known at a time.
constexpr std::size_t MaxSuspects = 512;
// Time between resends of a notice, and the maximum number of sends.
constexpr Millis ResendInterval{40};
constexpr std::int32_t MaxSends = 5;
// Time between purges of expired rows.
constexpr Millis PurgeInterval{1000};
// Records that are forgotten this soon are not merged: daemons that forget them at slightly different times would return them to each other.
constexpr Millis MinMergedTime{5000};
// How long a suspect is remembered when the ticket sets no quarantine time, and the maximum that another daemon may state.
constexpr Millis DefaultSuspectDuration{600000};
constexpr Millis MaxSuspectDuration{86400000};
constexpr int HexBase = 16;

// Returns the policy of the deployment.
const QuarantinePolicy &quarantinePolicy(const World &world)
{
    return world.settings_.isRouted_ ? RoutedPolicy : NativePolicy;
}

// True when a suspect's failures lead to quarantine now.
bool isQuarantinedByFailures(const World &world, const Suspect &suspect)
{
    return world.now_ < suspect.expiresAt_ && isOverThreshold(suspect, quarantinePolicy(world));
}

// Returns the id of the failure of a start of the backend server. A start without an id may close a connection and go on, so each of its failures counts.
FailureId failureIdOf(World &world, const BackendStart &backend)
{
    const BackendStartHash start = hashOf(backend);
    return FailureId(start == BackendStartHash() ? world.random_.bits64() : start.value());
}

// Makes room for a further suspect by removing one that matters least: cleared, with few failures, or close to its end. Those of operators stay.
void removeOneSuspect(World &world)
{
    const auto worth = [&](const auto &entry) {
        const Suspect &suspect = entry.second;
        return std::tuple(suspect.isQuarantinedByOperator_, isQuarantinedByFailures(world, suspect), hasOpenFailure(suspect), suspect.failures_.size(),
                          suspect.expiresAt_);
    };
    auto &rows = world.suspects_.rows_;
    const auto least = std::min_element(rows.begin(), rows.end(), [&](const auto &first, const auto &second) { return worth(first) < worth(second); });
    if (!least->second.isQuarantinedByOperator_) {
        rows.erase(least);
    }
}

// Returns the row of a suspect, which is added if it is not known.
Suspect &suspectRow(World &world, Fingerprint fingerprint)
{
    auto &rows = world.suspects_.rows_;
    if (!rows.contains(fingerprint) && rows.size() >= MaxSuspects) {
        removeOneSuspect(world);
    }
    return rows[fingerprint];
}

// Logs and stores the begin of a quarantine, or removes an ended one from the store.
void followQuarantine(World &world, Fingerprint fingerprint, bool wasQuarantined)
{
    const Suspect &suspect = world.suspects_.rows_.at(fingerprint);
    const bool isNow = isQuarantinedByFailures(world, suspect);
    if (isNow && !wasQuarantined) {
        world.emit(LogStateChange{"request quarantined: fingerprint " + std::to_string(fingerprint.value())});
        storeQuarantine(world, fingerprint, suspect.isStored_);
    } else if (!isNow && wasQuarantined && suspect.isStored_) {
        removeStoredQuarantine(world, fingerprint);
    }
}

// Returns the other running daemons whose backend servers belong to a service.
std::vector<InstanceId> servicePeers(const World &world, const ServiceName &service)
{
    const auto found = world.fleet_.byService_.find(service);
    std::vector<InstanceId> peers;
    if (found == world.fleet_.byService_.end()) {
        return peers;
    }
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(peers),
                 [&](InstanceId id) { return id != world.fleet_.self_ && isRunning(*world.fleet_.rows_.get(id)); });
    return peers;
}

// Sends a notice to all daemons that have not acknowledged it.
void sendNotice(World &world, PendingSuspectNotice &pending)
{
    const SuspectRequestNotice notice{pending.token_, recordOf(world, pending.fingerprint_)};
    for (const InstanceId id : pending.unacknowledged_) {
        const Instance *peer = world.fleet_.rows_.get(id);
        if (peer != nullptr) {
            world.emit(SendDatagram{peer->record_.address_, peer->region_, notice, MessagePurpose::Quarantine});
        }
    }
    ++pending.sendCount_;
    pending.nextSendAt_ = world.now_ + ResendInterval;
}

// Ends the exchange of the failed request.
void failExchange(World &world, const PendingSuspectNotice &pending)
{
    const ExchangeFailure reply{pending.attempt_, numberOf(ResultCode::BackendFailed)};
    world.emit(FailExchange{pending.exchange_, reply});
}

// Removes suspects that have expired.
void purgeExpired(World &world)
{
    if (world.now_ < world.suspects_.nextPurgeAt_) {
        return;
    }
    world.suspects_.nextPurgeAt_ = world.now_ + PurgeInterval;
    std::erase_if(world.suspects_.rows_, [&](const auto &entry) {
        const Suspect &suspect = entry.second;
        const bool isExpired = suspect.expiresAt_ <= world.now_ && !suspect.isQuarantinedByOperator_;
        if (isExpired && suspect.isStored_) {
            removeStoredQuarantine(world, entry.first);
        }
        return isExpired;
    });
}

} // namespace

bool isSuspect(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    if (found == world.suspects_.rows_.end()) {
        return false;
    }
    const Suspect &suspect = found->second;
    return suspect.isQuarantinedByOperator_ || (world.now_ < suspect.expiresAt_ && hasOpenFailure(suspect));
}

bool isQuarantined(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    return found != world.suspects_.rows_.end() && (found->second.isQuarantinedByOperator_ || isQuarantinedByFailures(world, found->second));
}

bool isQuarantinedByFailures(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    return found != world.suspects_.rows_.end() && isQuarantinedByFailures(world, found->second);
}

bool isOnTrial(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    const bool isSuspected = found != world.suspects_.rows_.end() && world.now_ < found->second.expiresAt_;
    return isSuspected && countOpenFailures(found->second) >= quarantinePolicy(world).threshold_ && !isQuarantined(world, fingerprint);
}

void markSuspect(World &world, const InterruptedRequest &request)
{
    world.counters_.add(Counter::SuspectsMarked);
    if (!request.isBesideSuspect_ || !isSuspect(world, request.fingerprint_)) {
        const SuspectFailure failure{failureIdOf(world, request.backend_), request.wasSuspectAtStart_, false};
        mergeSuspect(world, SuspectRecord{request.fingerprint_, {failure}, false, suspectDuration(world)});
    }
    PendingSuspectNotice pending;
    pending.token_ = world.random_.bits64();
    pending.fingerprint_ = request.fingerprint_;
    pending.unacknowledged_ = servicePeers(world, request.service_);
    pending.exchange_ = request.exchange_;
    pending.attempt_ = request.attempt_;
    sendNotice(world, pending);
    world.suspects_.pendingNotices_.push_back(std::move(pending));
}

void clearSuspect(World &world, const Offer &offer)
{
    const auto found = world.suspects_.rows_.find(offer.fingerprint_);
    if (found == world.suspects_.rows_.end() || offer.isFingerprintPartial_) {
        return;
    }
    const bool wasQuarantined = isQuarantinedByFailures(world, found->second);
    if (!clearFailures(found->second)) {
        return;
    }
    followQuarantine(world, offer.fingerprint_, wasQuarantined);
    // Sent once and not acknowledged: daemons that it does not reach learn of it when they compare their suspects.
    PendingSuspectNotice pending;
    pending.fingerprint_ = offer.fingerprint_;
    pending.unacknowledged_ = servicePeers(world, offer.service_);
    sendNotice(world, pending);
}

void applyQuarantine(World &world, const std::string &fingerprint, bool quarantined)
{
    std::uint64_t value = 0;
    std::from_chars(fingerprint.data(), fingerprint.data() + fingerprint.size(), value, HexBase);
    if (quarantined) {
        suspectRow(world, Fingerprint(value)).isQuarantinedByOperator_ = true;
        return;
    }
    const auto found = world.suspects_.rows_.find(Fingerprint(value));
    if (found == world.suspects_.rows_.end()) {
        return;
    }
    found->second.isQuarantinedByOperator_ = false;
    const bool wasQuarantined = isQuarantinedByFailures(world, found->second);
    if (world.tickets_.isCurrent_ && clearFailures(found->second)) {
        followQuarantine(world, Fingerprint(value), wasQuarantined);
    }
}

SuspectRecord recordOf(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    if (found == world.suspects_.rows_.end()) {
        return SuspectRecord{fingerprint, {}, false, {}};
    }
    const Suspect &suspect = found->second;
    return SuspectRecord{fingerprint, suspect.failures_, suspect.isStored_, std::max(Millis(), suspect.expiresAt_ - world.now_)};
}

void mergeSuspect(World &world, const SuspectRecord &record)
{
    if (record.failures_.empty() || record.remaining_ < MinMergedTime) {
        return;
    }
    Suspect &suspect = suspectRow(world, record.fingerprint_);
    const bool wasQuarantined = isQuarantinedByFailures(world, suspect);
    for (const SuspectFailure &failure : record.failures_) {
        mergeFailure(suspect, failure);
    }
    suspect.isStored_ = suspect.isStored_ || record.isStored_;
    suspect.expiresAt_ = std::max(suspect.expiresAt_, world.now_ + std::min(record.remaining_, MaxSuspectDuration));
    followQuarantine(world, record.fingerprint_, wasQuarantined);
}

Millis suspectDuration(const World &world)
{
    const ServiceSpec *spec = findService(world, world.admissions_.backend_.service_);
    return spec == nullptr || spec->quarantine_ == Millis() ? DefaultSuspectDuration : spec->quarantine_;
}

void handleDatagram(World &world, const Address &from, const SuspectRequestNotice &notice)
{
    mergeSuspect(world, notice.record_);
    if (notice.token_ != 0) {
        world.emit(SendDatagram{from, regionOfAddress(world, from), SuspectRequestAck{notice.token_}, MessagePurpose::Quarantine});
    }
}

void handleDatagram(World &world, const Address &from, const SuspectRequestAck &ack)
{
    const InstanceId id = findInstanceByAddress(world, from);
    for (PendingSuspectNotice &pending : world.suspects_.pendingNotices_) {
        if (pending.token_ == ack.token_) {
            std::erase(pending.unacknowledged_, id);
        }
    }
}

void runSuspects(World &world)
{
    purgeExpired(world);
    std::erase_if(world.suspects_.pendingNotices_, [&](PendingSuspectNotice &pending) {
        const bool isDue = world.now_ >= pending.nextSendAt_;
        if (!pending.unacknowledged_.empty() && isDue && pending.sendCount_ < MaxSends) {
            sendNotice(world, pending);
            return false;
        }
        const bool isFinished = pending.unacknowledged_.empty() || (isDue && pending.sendCount_ >= MaxSends);
        if (isFinished) {
            failExchange(world, pending);
        }
        return isFinished;
    });
}

Millis nextSuspectsDue(const World &world)
{
    Millis next = world.suspects_.rows_.empty() ? Millis::never() : world.suspects_.nextPurgeAt_;
    for (const PendingSuspectNotice &pending : world.suspects_.pendingNotices_) {
        next = std::min(next, pending.nextSendAt_);
    }
    return next;
}

} // namespace radishford

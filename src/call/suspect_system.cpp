// Suspects: requests that were running when a backend server failed. Admission runs them one at a time, and they are quarantined after
// repeated failures. Not related to Health::Suspect, which is the state of an instance.
#include "call/admission_func.h"
#include "call/suspect_func.h"
#include "fleet/instance_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <charconv>

namespace radishford {

namespace {

// Failures after which a request is quarantined. In a routed deployment, requests to one path resemble each other, so one
// more failure is needed.
constexpr std::size_t QuarantineFailures = 2;
constexpr std::size_t RoutedQuarantineFailures = 3;
// Time between resends of a notice, and the maximum number of sends.
constexpr Millis ResendInterval{40};
constexpr std::int32_t MaxSends = 5;
// Time between purges of expired rows.
constexpr Millis PurgeInterval{1000};
// How long a suspect is remembered when the ticket sets no quarantine time.
constexpr Millis DefaultSuspectDuration{600000};
constexpr int HexBase = 16;

// Returns the number of failures after which a request is quarantined.
std::size_t quarantineThreshold(const World &world)
{
    return world.settings_.isRouted_ ? RoutedQuarantineFailures : QuarantineFailures;
}

// Returns how long a suspect is remembered after its latest failure.
Millis suspectDuration(const World &world)
{
    const ServiceSpec *spec = findService(world, world.admissions_.backend_.service_);
    return spec == nullptr || spec->quarantine_ == Millis() ? DefaultSuspectDuration : spec->quarantine_;
}

// Adds a failure to a suspect. Repeated and late notices have no effect, since failure ids form a set.
void addFailure(World &world, Fingerprint fingerprint, std::uint64_t failureId)
{
    Suspect &suspect = world.suspects_.rows_[fingerprint];
    const bool isBelowThreshold = suspect.failures_.size() < quarantineThreshold(world);
    if (!isBelowThreshold || !suspect.failures_.insert(failureId).second) {
        return;
    }
    suspect.expiresAt_ = world.now_ + suspectDuration(world);
    if (suspect.failures_.size() >= quarantineThreshold(world)) {
        std::string text = "request quarantined: fingerprint ";
        text += std::to_string(fingerprint.value());
        world.emit(LogStateChange{std::move(text)});
    }
}

// Returns the other running daemons whose backend servers belong to the local service.
std::vector<InstanceId> servicePeers(const World &world)
{
    const auto found = world.fleet_.byService_.find(world.admissions_.backend_.service_);
    std::vector<InstanceId> peers;
    if (found == world.fleet_.byService_.end()) {
        return peers;
    }
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(peers),
                 [&](InstanceId id) { return id != world.fleet_.self_ && isRunning(*world.fleet_.rows_.get(id)); });
    return peers;
}

// Sends a notice to all daemons that have not acknowledged it.
void sendNotice(World &world, PendingSuspectNotice &pending, bool cleared)
{
    SuspectRequestNotice notice{pending.token_, pending.fingerprint_, {}, cleared};
    const auto row = world.suspects_.rows_.find(pending.fingerprint_);
    if (row != world.suspects_.rows_.end()) {
        notice.failures_.assign(row->second.failures_.begin(), row->second.failures_.end());
    }
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
    std::erase_if(world.suspects_.rows_, [&](const auto &entry) { return entry.second.expiresAt_ <= world.now_; });
}

} // namespace

bool isSuspect(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    return found != world.suspects_.rows_.end() && found->second.expiresAt_ > world.now_;
}

bool isQuarantined(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    if (found == world.suspects_.rows_.end() || found->second.expiresAt_ <= world.now_) {
        return false;
    }
    return found->second.isQuarantinedByOperator_ || found->second.failures_.size() >= quarantineThreshold(world);
}

void markSuspect(World &world, Fingerprint fingerprint, bool isBesideSuspect, ExchangeHandle exchange, std::uint64_t attempt)
{
    world.counters_.add(Counter::SuspectsMarked);
    if (!isBesideSuspect || !isSuspect(world, fingerprint)) {
        addFailure(world, fingerprint, world.random_.bits64());
    }
    PendingSuspectNotice pending;
    pending.token_ = world.random_.bits64();
    pending.fingerprint_ = fingerprint;
    pending.unacknowledged_ = servicePeers(world);
    pending.exchange_ = exchange;
    pending.attempt_ = attempt;
    sendNotice(world, pending, false);
    world.suspects_.pendingNotices_.push_back(std::move(pending));
}

void clearSuspect(World &world, Fingerprint fingerprint)
{
    if (world.suspects_.rows_.erase(fingerprint) == 0) {
        return;
    }
    // This notice is sent once and not acknowledged.
    PendingSuspectNotice pending;
    pending.fingerprint_ = fingerprint;
    pending.unacknowledged_ = servicePeers(world);
    sendNotice(world, pending, true);
}

void applyQuarantine(World &world, const std::string &fingerprint, bool quarantined)
{
    std::uint64_t value = 0;
    std::from_chars(fingerprint.data(), fingerprint.data() + fingerprint.size(), value, HexBase);
    if (quarantined) {
        Suspect &suspect = world.suspects_.rows_[Fingerprint(value)];
        suspect.isQuarantinedByOperator_ = true;
        suspect.expiresAt_ = Millis::never();
    } else {
        world.suspects_.rows_.erase(Fingerprint(value));
    }
}

void handleDatagram(World &world, const Address &from, const SuspectRequestNotice &notice)
{
    if (notice.isCleared_) {
        const auto found = world.suspects_.rows_.find(notice.fingerprint_);
        const bool canClear = found != world.suspects_.rows_.end() && !isQuarantined(world, notice.fingerprint_);
        if (canClear) {
            world.suspects_.rows_.erase(found);
        }
        return;
    }
    for (const std::uint64_t failureId : notice.failures_) {
        addFailure(world, notice.fingerprint_, failureId);
    }
    world.emit(SendDatagram{from, regionOfAddress(world, from), SuspectRequestAck{notice.token_}, MessagePurpose::Quarantine});
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
            sendNotice(world, pending, false);
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

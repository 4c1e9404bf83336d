// Requests that were running when a backend server failed: suspicion, isolation, quarantine.
#include "call/admission_func.h"
#include "call/suspect_func.h"
#include "fleet/instance_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <charconv>

namespace radishford {

namespace {

// Failures after which a request is refused; in a routed deployment requests of one path are alike, and one more is needed.
constexpr std::size_t QuarantineFailures = 2;
constexpr std::size_t RoutedQuarantineFailures = 3;
// A notice is repeated after this time, and so often at most.
constexpr Millis ResendInterval{40};
constexpr std::int32_t MaxSends = 5;
// Time between searches for expired rows.
constexpr Millis SweepInterval{1000};
// Suspicion lasts this long when no ticket says otherwise.
constexpr Millis DefaultQuarantine{600000};
constexpr int HexBase = 16;

// Failures after which a request is refused here.
std::size_t failuresToQuarantine(const World &world)
{
    return world.settings_.routed_ ? RoutedQuarantineFailures : QuarantineFailures;
}

// How long suspicion lasts.
Millis quarantineSpan(const World &world)
{
    const ServiceSpec *spec = findService(world, world.admissions_.backend_.service_);
    return spec == nullptr || spec->quarantine_ == Millis() ? DefaultQuarantine : spec->quarantine_;
}

// Adds a failure to a row; merging by union makes repeated and late notices harmless.
void addFailure(World &world, Fingerprint fingerprint, std::uint64_t failure)
{
    Suspect &suspect = world.suspects_.rows_[fingerprint];
    const bool room = suspect.failures_.size() < failuresToQuarantine(world);
    if (!room || !suspect.failures_.insert(failure).second) {
        return;
    }
    suspect.until_ = world.now_ + quarantineSpan(world);
    if (suspect.failures_.size() >= failuresToQuarantine(world)) {
        std::string text = "request quarantined: fingerprint ";
        text += std::to_string(fingerprint.value());
        world.emit(LogChange{std::move(text)});
    }
}

// Daemons beside backend servers of the own service.
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

// Sends a notice to everyone who has not confirmed it.
void sendNotice(World &world, SuspectSpread &spread, bool cleared)
{
    SuspectNotice notice{spread.token_, spread.fingerprint_, {}, cleared};
    const auto row = world.suspects_.rows_.find(spread.fingerprint_);
    if (row != world.suspects_.rows_.end()) {
        notice.failures_.assign(row->second.failures_.begin(), row->second.failures_.end());
    }
    for (const InstanceId id : spread.awaiting_) {
        const Instance *peer = world.fleet_.rows_.get(id);
        if (peer != nullptr) {
            world.emit(SendDatagram{peer->record_.address_, peer->region_, notice, Purpose::Quarantine});
        }
    }
    ++spread.sends_;
    spread.nextSendAt_ = world.now_ + ResendInterval;
}

// Fails the exchange whose request is under suspicion.
void settle(World &world, const SuspectSpread &spread)
{
    const Failed reply{spread.attempt_, numberOf(ResultCode::BackendFailed)};
    world.emit(FailExchange{spread.exchange_, reply});
}

// Forgets suspects whose time is over.
void sweep(World &world)
{
    if (world.now_ < world.suspects_.nextSweepAt_) {
        return;
    }
    world.suspects_.nextSweepAt_ = world.now_ + SweepInterval;
    std::erase_if(world.suspects_.rows_, [&](const auto &entry) { return entry.second.until_ <= world.now_; });
}

} // namespace

bool isSuspect(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    return found != world.suspects_.rows_.end() && found->second.until_ > world.now_;
}

bool isQuarantined(const World &world, Fingerprint fingerprint)
{
    const auto found = world.suspects_.rows_.find(fingerprint);
    if (found == world.suspects_.rows_.end() || found->second.until_ <= world.now_) {
        return false;
    }
    return found->second.forbidden_ || found->second.failures_.size() >= failuresToQuarantine(world);
}

void markSuspect(World &world, Fingerprint fingerprint, bool isBystander, ExchangeHandle exchange, std::uint64_t attempt)
{
    world.counters_.add(Counter::SuspectsMarked);
    if (!isBystander || !isSuspect(world, fingerprint)) {
        addFailure(world, fingerprint, world.random_.bits());
    }
    SuspectSpread spread;
    spread.token_ = world.random_.bits();
    spread.fingerprint_ = fingerprint;
    spread.awaiting_ = servicePeers(world);
    spread.exchange_ = exchange;
    spread.attempt_ = attempt;
    sendNotice(world, spread, false);
    world.suspects_.spreads_.push_back(std::move(spread));
}

void clearSuspect(World &world, Fingerprint fingerprint)
{
    if (world.suspects_.rows_.erase(fingerprint) == 0) {
        return;
    }
    SuspectSpread spread;
    spread.fingerprint_ = fingerprint;
    spread.awaiting_ = servicePeers(world);
    sendNotice(world, spread, true);
}

void applyQuarantine(World &world, const std::string &fingerprint, bool quarantined)
{
    std::uint64_t value = 0;
    std::from_chars(fingerprint.data(), fingerprint.data() + fingerprint.size(), value, HexBase);
    if (quarantined) {
        Suspect &suspect = world.suspects_.rows_[Fingerprint(value)];
        suspect.forbidden_ = true;
        suspect.until_ = Millis::never();
    } else {
        world.suspects_.rows_.erase(Fingerprint(value));
    }
}

void take(World &world, const Address &from, const SuspectNotice &notice)
{
    if (notice.cleared_) {
        const auto found = world.suspects_.rows_.find(notice.fingerprint_);
        const bool mayClear = found != world.suspects_.rows_.end() && !isQuarantined(world, notice.fingerprint_);
        if (mayClear) {
            world.suspects_.rows_.erase(found);
        }
        return;
    }
    for (const std::uint64_t failure : notice.failures_) {
        addFailure(world, notice.fingerprint_, failure);
    }
    world.emit(SendDatagram{from, regionOf(world, from), SuspectAck{notice.token_}, Purpose::Quarantine});
}

void take(World &world, const Address &from, const SuspectAck &ack)
{
    const InstanceId id = instanceAt(world, from);
    for (SuspectSpread &spread : world.suspects_.spreads_) {
        if (spread.token_ == ack.token_) {
            std::erase(spread.awaiting_, id);
        }
    }
}

void runSuspects(World &world)
{
    sweep(world);
    std::erase_if(world.suspects_.spreads_, [&](SuspectSpread &spread) {
        const bool due = world.now_ >= spread.nextSendAt_;
        if (!spread.awaiting_.empty() && due && spread.sends_ < MaxSends) {
            sendNotice(world, spread, false);
            return false;
        }
        const bool settled = spread.awaiting_.empty() || (due && spread.sends_ >= MaxSends);
        if (settled) {
            settle(world, spread);
        }
        return settled;
    });
}

Millis nextSuspects(const World &world)
{
    Millis next = world.suspects_.rows_.empty() ? Millis::never() : world.suspects_.nextSweepAt_;
    for (const SuspectSpread &spread : world.suspects_.spreads_) {
        next = std::min(next, spread.nextSendAt_);
    }
    return next;
}

} // namespace radishford

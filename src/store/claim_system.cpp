// Claims idempotency keys: one row in the store for each key, inserted before hand-over.
#include "call/admission_func.h"
#include "fleet/instance_func.h"
#include "store/claim_func.h"
#include "store/store_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Maximum number of claims in one store request.
constexpr std::size_t MaxBatch = 64;
// Maximum number of times a claim is sent. After a lost response it is sent once more, and the row shows whether the first one took effect.
constexpr std::int32_t MaxSends = 2;
// After a lost response, new claims fail immediately for this time.
constexpr Millis FailFastDuration{1000};
// Interval at which this daemon's share of the fleet's write rate is computed.
constexpr Millis ShareUpdateInterval{1000};
// Number of writes that a daemon may send in a burst after a pause.
constexpr double WriteBurst = 2.0;
// Maximum number of releases queued while the store is unavailable. The oldest one is dropped beyond that, and its key stays claimed.
constexpr std::size_t MaxReleases = 1024;

// Returns the key of the row. It includes the service, so that services do not share idempotency keys.
std::string rowKey(const Offer &offer)
{
    return offer.service_.value() + "/" + offer.key_;
}

// Returns the text that identifies the one admission which may hand the request over: instance, incarnation and admission id.
std::string ownerOf(const World &world, AdmissionId id)
{
    const WorldSettings &settings = world.settings_;
    return settings.name_.value() + ":" + std::to_string(settings.incarnation_.value()) + ":" + std::to_string(id.packed());
}

// Returns the row that an admission writes.
ClaimInsert insertFor(const World &world, AdmissionId id, const Offer &offer)
{
    return ClaimInsert{rowKey(offer), ClaimValue{offer.callToken_, ownerOf(world, id), offer.fingerprint_}};
}

// Returns the admission of a claim if it still waits for the claim, otherwise nullptr.
Admission *waitingAdmission(World &world, const PendingClaim &claim)
{
    Admission *row = world.admissions_.rows_.get(claim.admission_);
    return row != nullptr && row->state_ == AdmissionState::Claiming ? row : nullptr;
}

// Queues the release of a key.
void queueRelease(World &world, const ClaimInsert &insert)
{
    auto &releases = world.claims_.releases_;
    if (releases.size() >= MaxReleases) {
        releases.pop_front();
    }
    releases.push_back(insert);
}

// Sends a request to the store and records it as pending.
void send(World &world, StoreOperation operation, ClaimRequest request)
{
    const std::uint64_t requestId = sendStoreRequest(world, std::move(operation));
    world.claims_.requests_.emplace(requestId, std::move(request));
}

// Decides about a claim whose key is taken: refuses the request, or queues a take-over when an earlier attempt of the same call holds the
// key.
void resolveTakenKey(World &world, const PendingClaim &claim, const ClaimValue &current)
{
    const ClaimValue &claimed = claim.insert_.value_;
    if (current.fingerprint_ != claimed.fingerprint_) {
        failAdmission(world, claim.admission_, ResultCode::KeyMismatch);
    } else if (current.callToken_ == claimed.callToken_) {
        // An earlier attempt of this call claimed the key and was not run.
        world.claims_.takeOvers_.emplace_back(claim, current);
    } else {
        failAdmission(world, claim.admission_, ResultCode::KeyTaken);
    }
}

// Processes the result of one claim: hands the request over, refuses it, or releases the key when the admission no longer waits.
void handleClaimResult(World &world, const PendingClaim &claim, const ClaimResult &result)
{
    const bool isOwn = result.wasApplied_ || result.existingRow_ == claim.insert_.value_;
    if (waitingAdmission(world, claim) == nullptr) {
        if (isOwn) {
            queueRelease(world, claim.insert_);
        }
        return;
    }
    if (isOwn) {
        handOver(world, claim.admission_);
        return;
    }
    waitingAdmission(world, claim)->mayHoldClaim_ = false;
    resolveTakenKey(world, claim, result.existingRow_);
}

// Processes claims whose response was lost: queues each once more, then refuses the request as not run.
void retryOrFail(World &world, const ClaimRequest &request)
{
    for (const PendingClaim &claim : request.claims_) {
        if (waitingAdmission(world, claim) == nullptr) {
            queueRelease(world, claim.insert_);
        } else if (claim.sendCount_ < MaxSends && !request.isTakeOver_) {
            world.claims_.waiting_.push_back(claim);
        } else {
            failAdmission(world, claim.admission_, ResultCode::StoreDown);
        }
    }
}

// Refuses the requests of all waiting claims while the store is considered unavailable.
void failWaiting(World &world)
{
    const std::deque<PendingClaim> waiting = std::exchange(world.claims_.waiting_, {});
    for (const PendingClaim &claim : waiting) {
        if (waitingAdmission(world, claim) == nullptr) {
            continue;
        }
        if (claim.sendCount_ > 0) {
            // The response to the first write was lost; the claim is sent once more to learn the outcome.
            world.claims_.waiting_.push_back(claim);
        } else {
            failAdmission(world, claim.admission_, ResultCode::StoreDown);
        }
    }
}

// Removes the next batch of claims from the queue, leaving out those whose admission no longer waits.
std::vector<PendingClaim> popBatch(World &world)
{
    std::vector<PendingClaim> batch;
    auto &waiting = world.claims_.waiting_;
    while (!waiting.empty() && batch.size() < MaxBatch) {
        PendingClaim claim = waiting.front();
        waiting.pop_front();
        Admission *row = waitingAdmission(world, claim);
        if (row == nullptr) {
            if (claim.sendCount_ > 0) {
                queueRelease(world, claim.insert_);
            }
            continue;
        }
        row->mayHoldClaim_ = true;
        ++claim.sendCount_;
        batch.push_back(std::move(claim));
    }
    return batch;
}

// Sends a batch of claims.
void sendBatch(World &world)
{
    std::vector<PendingClaim> batch = popBatch(world);
    if (batch.empty()) {
        return;
    }
    ClaimInsertBatch operation;
    for (const PendingClaim &claim : batch) {
        operation.claims_.push_back(claim.insert_);
        world.counters_.add(Counter::ClaimsSent);
    }
    send(world, operation, ClaimRequest{std::move(batch), false, false});
}

// Sends one take-over, unless its admission no longer waits.
void sendTakeOver(World &world)
{
    const auto [claim, current] = world.claims_.takeOvers_.front();
    world.claims_.takeOvers_.pop_front();
    Admission *row = waitingAdmission(world, claim);
    if (row == nullptr) {
        return;
    }
    row->mayHoldClaim_ = true;
    send(world, ClaimReplace{claim.insert_.key_, current, claim.insert_.value_}, ClaimRequest{{claim}, true, false});
}

// Sends one release.
void sendRelease(World &world)
{
    const ClaimInsert insert = world.claims_.releases_.front();
    world.claims_.releases_.pop_front();
    PendingClaim claim;
    claim.insert_ = insert;
    send(world, ClaimDelete{insert.key_, insert.value_}, ClaimRequest{{claim}, false, true});
}

// Sets this daemon's write rate to an equal share of the fleet's rate.
void updateWriteShare(World &world)
{
    ClaimTable &claims = world.claims_;
    if (world.now_ < claims.nextShareUpdateAt_) {
        return;
    }
    claims.nextShareUpdateAt_ = world.now_ + ShareUpdateInterval;
    const double daemons = static_cast<double>(std::max<std::size_t>(1, world.fleet_.rows_.size()));
    claims.writeBucket_.setRate(world.settings_.storeWritesPerSecond_ / daemons, WriteBurst, world.now_);
}

// Returns true when a claim, take-over or release waits to be sent.
bool hasPendingWork(const ClaimTable &claims)
{
    const bool releasable = !claims.releases_.empty();
    return !claims.waiting_.empty() || !claims.takeOvers_.empty() || releasable;
}

} // namespace

bool handleClaimResponse(World &world, std::uint64_t requestId, const StoreResponse &response)
{
    const auto found = world.claims_.requests_.find(requestId);
    if (found == world.claims_.requests_.end()) {
        return false;
    }
    const ClaimRequest request = std::move(found->second);
    world.claims_.requests_.erase(found);
    const bool isComplete = response.ok_ && response.claims_.size() == request.claims_.size();
    if (!isComplete) {
        world.counters_.add(Counter::StoreFailures);
        world.claims_.failFastUntil_ = world.now_ + FailFastDuration;
        if (request.isRelease_) {
            queueRelease(world, request.claims_.front().insert_);
        } else {
            retryOrFail(world, request);
        }
        return true;
    }
    world.claims_.failFastUntil_ = Millis();
    for (std::size_t index = 0; index < request.claims_.size() && !request.isRelease_; ++index) {
        handleClaimResult(world, request.claims_[index], response.claims_[index]);
    }
    return true;
}

void queueClaim(World &world, AdmissionId id)
{
    PendingClaim claim;
    claim.admission_ = id;
    claim.insert_ = insertFor(world, id, world.admissions_.rows_.get(id)->offer_);
    world.claims_.waiting_.push_back(std::move(claim));
}

void queueClaimRelease(World &world, AdmissionId id, const Offer &offer)
{
    queueRelease(world, insertFor(world, id, offer));
}

bool hasPendingClaims(const World &world)
{
    return !world.claims_.requests_.empty() || hasPendingWork(world.claims_);
}

void runClaims(World &world)
{
    ClaimTable &claims = world.claims_;
    updateWriteShare(world);
    const bool isFailingFast = world.now_ < claims.failFastUntil_;
    if (isFailingFast) {
        failWaiting(world);
    }
    // Only one request is pending at a time; claims queued meanwhile form the next batch.
    if (!claims.requests_.empty() || !hasPendingWork(claims) || !claims.writeBucket_.hasTokens(1, world.now_)) {
        return;
    }
    if (!claims.takeOvers_.empty()) {
        claims.writeBucket_.tryTake(1, world.now_);
        sendTakeOver(world);
    } else if (!claims.waiting_.empty()) {
        claims.writeBucket_.tryTake(1, world.now_);
        sendBatch(world);
    } else if (!isFailingFast) {
        claims.writeBucket_.tryTake(1, world.now_);
        sendRelease(world);
    }
}

Millis nextClaimsDue(const World &world)
{
    const ClaimTable &claims = world.claims_;
    if (!claims.requests_.empty() || !hasPendingWork(claims)) {
        return Millis::never();
    }
    TokenBucket writes = claims.writeBucket_;
    const Millis ready = writes.readyAt(1, world.now_);
    const bool onlyReleases = claims.waiting_.empty() && claims.takeOvers_.empty();
    return onlyReleases ? std::max(ready, claims.failFastUntil_) : ready;
}

} // namespace radishford

// Builds the offers with which calls are made to other daemons.
#include "call/offer_func.h"

#include "world/world.h"

#include <string>

namespace radishford {

Offer makeOffer(const World &world, const Call &call, CallId callId, AttemptId id)
{
    const Attempt &attempt = *world.calls_.attempts_.get(id);
    Offer offer;
    offer.attempt_ = id.packed();
    offer.sender_ = world.settings_.name_;
    // The call token is only needed to claim an idempotency key.
    offer.callToken_ = call.key_.empty()
        ? std::string()
        : world.settings_.name_.value() + ":" + std::to_string(world.settings_.incarnation_.value()) + ":" + std::to_string(callId.packed());
    offer.service_ = call.service_;
    offer.class_ = call.class_;
    offer.remaining_ = call.deadline_ - world.now_;
    offer.sentAt_ = world.now_;
    offer.fingerprint_ = call.fingerprint_;
    offer.isFingerprintPartial_ = !call.isReplayable_;
    offer.key_ = call.key_;
    offer.routed_ = call.routed_;
    offer.isIdempotent_ = call.isIdempotent_;
    offer.priority_ = call.priority_;
    offer.latencyTargetRemaining_ = call.latencyTargetDeadline_ - world.now_;
    offer.isBodyInline_ = attempt.sentBodyInline_;
    offer.requiresWholeBody_ = call.requiresWholeBody_;
    offer.isFromBackend_ = call.isFromBackend_;
    if (const Instance *instance = world.fleet_.rows_.get(attempt.instance_)) {
        offer.leavingBackend_ = instance->leavingBackend_;
    }
    offer.trace_ = call.trace_;
    offer.parentSpan_ = attempt.span_;
    return offer;
}

} // namespace radishford

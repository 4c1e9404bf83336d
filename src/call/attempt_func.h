// Attempts at the outbound side: handles the messages and failures of their exchanges.
#pragma once

#include "call/call_base.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Handles the reply to an offer: admitted, queued or refused.
void handle(World &world, const OfferReplied &event);

// Handles the reply to a withdrawal.
void handle(World &world, const WithdrawalReplied &event);

// Handles an exchange that the inbound side ended without a response.
void handle(World &world, const AttemptFailed &event);

// Starts to relay a response to the caller and withdraws the other attempts.
void handle(World &world, const ResponseStarted &event);

// Ends a call whose response is complete.
void handle(World &world, const ResponseCompleted &event);

// Handles a lost connection to the inbound side.
void handle(World &world, const ExchangeConnectionLost &event);

// Called when an offer has no reply in time. Withdraws or hedges the attempt, or counts it as not run.
void expireOffer(World &world, std::uint64_t packedId);

// Called when a withdrawal was not acknowledged in time; the outcome of the attempt is then unknown.
void expireWithdrawal(World &world, std::uint64_t packedId);

// Called when an attempt of an idempotent call is slow. Starts a hedge on another instance if the retry budget allows it. Also called
// directly when a hedge is needed at once.
void startHedge(World &world, std::uint64_t packedId);

// Starts an attempt of a call at an instance.
void startAttempt(World &world, CallId callId, InstanceId instance);

// Removes an attempt and ends its span. Set abandonExchange when the exchange may still be open.
void endAttempt(World &world, AttemptId id, ResultCode code, bool abandonExchange);

// Withdraws a live attempt. Returns true when its reply must be awaited because the request may run.
bool withdrawAttempt(World &world, AttemptId id);

// Returns the number of backend servers that have run the call or may do so, including those of live attempts.
std::int32_t backendsPossiblyReached(const World &world, const Call &call);

// True when some live attempt of the call may run, or may have run.
bool anyMayRun(const World &world, const Call &call);

// True when the attempt's request may have been handed over, or may still be without further confirmation from this side.
bool mayRun(const Attempt &attempt);

} // namespace radishford

// Attempts: what the inbound sides say about offers.
#pragma once

#include "call/call_base.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Takes an answer to an offer.
void handle(World &world, const OfferReplied &event);

// Takes an answer to a withdrawal.
void handle(World &world, const WithdrawReplied &event);

// Takes the end of an exchange without an answer.
void handle(World &world, const AttemptFailed &event);

// Starts to relay an answer.
void handle(World &world, const AnswerStarted &event);

// Ends a call whose answer is whole.
void handle(World &world, const AnswerCompleted &event);

// Takes the loss of a connection.
void handle(World &world, const ExchangeLost &event);

// An offer's reply is overdue.
void expireOffer(World &world, std::uint64_t row);

// A withdrawal's confirmation is overdue.
void expireWithdrawal(World &world, std::uint64_t row);

// An attempt of an idempotent call runs for long: tries it elsewhere too, if the retry budget allows.
void expireHedge(World &world, std::uint64_t row);

// Starts an attempt of a call at an instance.
void startAttempt(World &world, CallId callId, InstanceId instance);

// Removes an attempt and ends its span. The exchange is dropped when it may still be open.
void endAttempt(World &world, AttemptId id, ResultCode code, bool drop);

// Withdraws a live attempt. Returns true when the answer must be awaited, since the request may run otherwise.
bool withdrawAttempt(World &world, AttemptId id);

// Backend servers that have run the call or may do so, live attempts included.
std::int32_t backendsPossiblyReached(const World &world, const Call &call);

// True when some live attempt of the call may run, or may have run.
bool anyMayRun(const World &world, const Call &call);

// True when the attempt's request may have been handed over, or may yet be without a further word from here.
bool mayRun(const Attempt &attempt);

} // namespace radishford

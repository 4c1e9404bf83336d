// Log lines about decisions on requests, which let an operator trace a failure to its cause.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"
#include "core/result_code.h"
#include "core/units_type.h"
#include "world/event_type.h"

namespace radishford {

struct Admission;
struct Attempt;
struct Call;
struct World;

// Logs a request that was refused before it became a call.
void logRequestRefused(World &world, const TraceId &request, ResultCode code);

// Logs a call that ended with a failure created by this daemon.
void logCallFailed(World &world, const Call &call, ResultCode code);

// Logs a call whose connection is closed while its response is being relayed, with the reason.
void logCallAborted(World &world, const Call &call, ResultCode code, UnansweredReason reason);

// Logs a request whose caller got no complete response. The call is nullptr when it has ended before.
void logUnanswered(World &world, const CallerDisconnected &event, const Call *call);

// Logs a call that completed with a response if it is in the sample, which is the same on all daemons.
void logCallCompleted(World &world, const Call &call, const Attempt &attempt);

// Logs an attempt that ended without a response, unless the reason was a lack of capacity.
void logAttemptEnded(World &world, const Call &call, const Attempt &attempt, ResultCode code);

// Logs a retry after the request reached a backend server, or a hedged attempt beside one that still runs.
void logRetryOrHedge(World &world, const Call &call, const Attempt &attempt);

// Logs an offer or admission that ended without a response, unless the reason was a lack of capacity.
void logAdmissionEnded(World &world, const Offer &offer, ResultCode code);

// Logs the hand-over of a request to the backend server if its call is in the sample.
void logHandOver(World &world, const Admission &row);

} // namespace radishford

// Calls at the outbound side.
#pragma once

#include "core/result_code.h"
#include "ticket/ticket_type.h"
#include "world/event_type.h"

#include <cstdint>
#include <string>

namespace radishford {

struct Call;
struct World;

// What the front end needs to know about a request before it reads the body.
struct RequestClassification {
    // Ok, or why the request is refused.
    ResultCode code_ = ResultCode::Ok;
    // The class that matches; nullptr unless the code is Ok. Valid until the next tick.
    const RequestClass *class_ = nullptr;
};

// Returns the time limit of a call: the caller's own if it is shorter than that of the policy.
Millis timeoutOf(const CallArrived &event, const CallPolicy &policy);

// Finds the class of a request. The path is matched without its query.
RequestClassification classifyRequest(const World &world, const ServiceName &service, const std::string &method, const std::string &path, bool hasKey);

// Accepts a call and requests its first attempt, or reports why it is refused.
void handle(World &world, const CallArrived &event);

// Counts and logs a request that the front end refused.
void handle(World &world, const RequestRefused &event);

// Counts and logs a request whose caller gets no complete response, and ends its call unless it has ended. A caller that may have closed its sending side only
// gets a failure response, unless a response is already being relayed.
void handle(World &world, const CallerDisconnected &event);

// Fails a call whose body cannot be passed on. A response that is already being relayed is cut.
void handle(World &world, const CallerBodyFailed &event);

// Starts attempts for all calls that need one.
void runRoute(World &world);

// Called when the deadline of a call passes.
void expireCall(World &world, std::uint64_t packedId);

// Called when a call that found no backend server is due to be routed again.
void expireRetryWait(World &world, std::uint64_t packedId);

// Ends a call and its attempts with a result that this daemon generates. A code that proves "not run" is replaced when the call may have run.
void failCall(World &world, CallId id, ResultCode code);

// Ends a call whose response is being relayed. The caller's connection is aborted so that the response is seen as incomplete.
void abortRelayedCall(World &world, CallId id, ResultCode code, UnansweredReason reason);

// Ends a call and its attempts without a report to the caller.
void removeCall(World &world, CallId id, ResultCode code);

// Takes the cost of a hedge from the retry budget. Returns false when the budget does not allow it, or a routed call may have reached its
// maximum number of backend servers. For calls that are not routed, half of the budget is reserved for calls without a running attempt.
bool takeHedgeFromRetryBudget(World &world, const Call &call);

// Marks a call for the route system to start a further attempt.
void queueForRouting(World &world, CallId id);

} // namespace radishford

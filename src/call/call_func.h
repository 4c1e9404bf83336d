// Calls of callers at the outbound side.
#pragma once

#include "core/result_code.h"
#include "ticket/ticket_type.h"
#include "world/event_type.h"

#include <cstdint>
#include <string>

namespace radishford {

struct Call;
struct World;

// What the front end must know of a request before it reads the body.
struct Classification {
    // Ok, or why the request is refused.
    ResultCode code_ = ResultCode::Ok;
    // Class found; nullptr unless the code is Ok. Good until the next tick.
    const RequestClass *class_ = nullptr;
};

// Finds the class of a request. The path is matched without its query.
Classification classify(const World &world, const ServiceName &service, const std::string &method, const std::string &path, bool hasKey);

// Takes a call.
void handle(World &world, const CallArrived &event);

// Counts and logs a request that the front end refused.
void handle(World &world, const RequestRefused &event);

// Drops a call whose caller left.
void handle(World &world, const CallerGone &event);

// Starts attempts of calls that need one.
void runRoute(World &world);

// A call's deadline has passed.
void expireCall(World &world, std::uint64_t row);

// A call that found no backend server looks again.
void expireRetryWait(World &world, std::uint64_t row);

// Ends a call with a result of our own, and its attempts with it.
void failCall(World &world, CallId id, ResultCode code);

// Ends a call and its attempts without telling the caller anything.
void removeCall(World &world, CallId id, ResultCode code);

// Takes from the retry budget what a second run beside the first costs. False when less than half of the budget is left,
// which is kept for calls that have no answer in sight.
bool chargeRerun(World &world, const Call &call);

// Asks the route system for a further attempt.
void queueForRouting(World &world, CallId id);

} // namespace radishford

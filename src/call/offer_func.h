// Builds the offers with which calls are made to other daemons.
#pragma once

#include "call/call_type.h"
#include "call/exchange_type.h"

namespace radishford {

struct Call;
struct World;

// Returns the offer of an attempt, which must be in the attempt table.
Offer makeOffer(const World &world, const Call &call, CallId callId, AttemptId id);

} // namespace radishford

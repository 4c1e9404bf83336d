// Retry budget of routed calls, which limits the retries of all daemons together within a sliding window.
//
// Each daemon enforces its part alone: a share of the calls that it has accepted itself, and an equal part of the fixed allowance by the
// number of daemons. The limit of the fleet therefore holds in every window without any messages.
#pragma once

#include "core/units_type.h"

namespace radishford {

struct World;

// Records a call to a service, which raises the number of retries allowed within the window.
void recordCallForRetryWindow(World &world, const ServiceName &service);

// Takes one retry at the service's backend servers from the budget. Returns false when the budget is used up.
bool tryTakeRetry(World &world, const ServiceName &service);

} // namespace radishford

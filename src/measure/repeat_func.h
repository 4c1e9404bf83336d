// The budget of repeats that all daemons keep together.
//
// Each daemon spends its part on its own: a share of the calls that it has taken itself, and of the fixed number its part by the
// size of the fleet. So the sums over the fleet hold in every window without any message.
#pragma once

#include "core/units_type.h"

namespace radishford {

struct World;

// Counts a call to a service, which earns a share of a repeat.
void noteCall(World &world, const ServiceName &service);

// Takes one repeat at a service's backend servers. False when the budget is spent.
bool takeRepeat(World &world, const ServiceName &service);

} // namespace radishford

// Trials of suspects that many servers were running when they failed at the same moment.
#pragma once

#include "core/units_type.h"

namespace radishford {

struct World;

// True when the local backend server may run a request of a service. A request that was running at enough failures for a quarantine, but at too few that are
// attributed to it, runs only on one server at a time until it has completed or is in quarantine: of those that are ready, the one that its fingerprint
// selects.
bool mayRunHere(const World &world, Fingerprint fingerprint, const ServiceName &service);

} // namespace radishford

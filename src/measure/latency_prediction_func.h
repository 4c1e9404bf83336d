// Selects the backend server of a routed call by the predicted time until it responds.
#pragma once

#include "core/clock_type.h"
#include "fleet/instance_type.h"

namespace radishford {

struct Call;
struct World;

// Returns the instance with the earliest predicted response among those whose distance cost the call accepts. The accepted cost grows with
// the time that the call has waited; the distance cost grows with the bytes to be moved. Returns an invalid id when no instance is
// eligible.
InstanceId selectByPredictedLatency(World &world, const Call &call);

// Returns the shortest wait for a request limit among the ready backend servers of a service, by their latest reports; zero when one of them has no limit.
Millis expectedLimitWait(const World &world, const ServiceName &service);

} // namespace radishford

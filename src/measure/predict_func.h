// Choice of a backend server for a routed call by the predicted time to its answer.
#pragma once

#include "fleet/instance_type.h"

namespace radishford {

struct Call;
struct World;

// The instance that is likely to answer first, among those that the call may reach by now: a call may go further the longer it has
// waited, by the bytes that it would move. Invalid when there is none.
InstanceId choosePredicted(World &world, const Call &call);

} // namespace radishford

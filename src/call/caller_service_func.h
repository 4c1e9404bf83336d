// The service as which requests of callers on this machine begin.
#pragma once

#include "core/units_type.h"

namespace radishford {

struct World;

// Returns the service of this machine. The settings and the announcements of the local backend server name it, each at its own time; the latest
// one applies. An announced service that the desired state does not name is not used.
const ServiceName &callerService(const World &world);

} // namespace radishford

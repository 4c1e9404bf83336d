// The service as which requests of callers on this machine begin.
#include "call/caller_service_func.h"

#include "world/world.h"

namespace radishford {

const ServiceName &callerService(const World &world)
{
    const LocalBackend &backend = world.admissions_.backend_;
    const bool isAnnouncedLast = backend.namesCallers_ && world.routes_.services_.contains(backend.service_);
    return isAnnouncedLast ? backend.service_ : world.settings_.backendService_;
}

} // namespace radishford

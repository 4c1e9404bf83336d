// Sends requests to the platform's store and dispatches its responses.
#pragma once

#include "store/store_type.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Sends a request to the store and returns its id, which the response carries.
std::uint64_t sendStoreRequest(World &world, StoreOperation operation);

// Passes a response of the store to the system that sent the request. Responses to unknown requests are counted as late messages.
void handle(World &world, const StoreResponded &event);

} // namespace radishford

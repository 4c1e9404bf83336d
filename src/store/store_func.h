// Requests to the platform's store and the dispatch of its answers.
#pragma once

#include "store/store_type.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Sends a request to the store and returns its number.
std::uint64_t askStore(World &world, StoreOperation operation);

// Gives an answer of the store to the system that asked.
void handle(World &world, const StoreAnswered &event);

} // namespace radishford

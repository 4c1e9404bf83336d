// Finds other daemons through rows in the platform's store.
#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <cstdint>

namespace radishford {

struct World;

// Takes the store's answer to a request of the directory. Returns false when it is not one.
bool takeDirectoryAnswer(World &world, std::uint64_t request, const StoreAnswer &answer);

// Enters this daemon, then reads who else is there; again while no other daemon is known to run.
void runDirectory(World &world);

// When the directory system must run next.
Millis nextDirectory(const World &world);

} // namespace radishford

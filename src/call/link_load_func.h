// Keeps large responses from filling the link of this machine.
#pragma once

#include "core/units_type.h"

namespace radishford {

struct Admission;
struct World;

// Records the size of the response to a request.
void recordResponseSize(World &world, const Admission &row, Bytes size);

// Expected size of the response to a request, from earlier responses of its class; zero when none is known.
Bytes expectedResponseSize(const World &world, const Admission &row);

// True when the link can carry the response to a request soon, beside those of all running requests. Small responses always fit, since holding them
// back would save nothing, and any response fits a link that is nearly free.
bool fitsLink(const World &world, const Admission &row);

} // namespace radishford

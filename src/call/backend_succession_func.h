// A backend server that takes the place of another one, or of an earlier start of itself.
#pragma once

#include "world/event_type.h"

namespace radishford {

struct Admission;
struct World;

// True when the start of the backend server for which a request was accepted is still the one that is bound. A request may wait for its confirmation, its body
// or its key, while another server takes the address.
bool isForCurrentBackend(const World &world, const Admission &row);

// Binds the backend server that an announcement names. When it is another start than before, requests that were accepted for the former one and not handed over
// are refused as not run, and what was learned about the former one is forgotten.
void bindBackend(World &world, const BackendAnnounced &event);

} // namespace radishford

// Requests whose connection to the backend server closed while they ran.
#pragma once

#include "call/admission_table.h"

namespace radishford {

struct World;

// Returns what is needed to end an interrupted request once it is known whether its backend server crashed, and records when a suspect was interrupted.
InterruptedRequest interruptRequest(World &world, const Admission &row);

} // namespace radishford

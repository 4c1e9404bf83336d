// Decides when a call is turned away because nobody can end it in time, and when its caller may come again.
//
// Load pattern: more work than the servers can do. Work that cannot end before its time limit fails after it has taken a slot, and
// holds its caller for nothing. A caller that returns at once meets the same servers; callers that return together meet each other.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/result_code.h"
#include "core/units_type.h"

namespace radishford {

struct Admission;
struct Call;
struct World;

// Learns how long work of a class takes.
void recordShortestTime(ShortestTimes &times, const ClassName &name, Millis duration);

// True when no backend server can answer a call of the class within the time left.
bool cannotAnswerWithin(const World &world, const ClassName &name, Millis timeLeft);

// True when the backend server beside this daemon cannot end a waiting request in time.
bool cannotFinishInTime(const World &world, const Admission &row);

// How soon the reason of a refusal may have gone; zero when waiting does not help.
Millis usualReturnWait(ResultCode code);

// When the caller of a refused call has a fair chance again; zero when it has none, or need not wait.
Millis retryAfter(World &world, const Call &call, ResultCode code);

} // namespace radishford

// Rejects calls that no backend server can finish in time, and sets the retry delays for their callers.
//
// Load pattern: overload. Work that cannot finish before its deadline fails after it has occupied a slot, and its caller waits in vain.
// A caller that retries at once meets the same overloaded servers, and callers that retry together overload them again.
#pragma once

#include "call/call_type.h"
#include "core/clock_type.h"
#include "core/result_code.h"
#include "core/units_type.h"

namespace radishford {

struct Admission;
struct Call;
struct World;

// Updates the shortest known time of a class with the duration of one request.
void recordShortestTime(ShortestTimes &times, const ClassName &name, Millis duration);

// True when no backend server can respond to a call of the class within the time left.
bool cannotAnswerWithin(const World &world, const ClassName &name, Millis timeLeft);

// Returns the time that a call of the class must have left for a further offer. With less, the inbound side refuses it or its reply may come too late.
Millis minOfferTime(const World &world, const ClassName &name);

// True when the local backend server cannot finish a queued request in time that starts after this wait.
bool cannotFinishInTime(const World &world, const Admission &row, Millis wait);

// Returns the retry delay for a refusal; zero when a retry does not help. The draw is uniform in [0, 1) and spreads callers over time.
Millis retryDelay(const World &world, ResultCode code, double draw);

// Returns the retry delay for the caller of a refused call; zero when a retry is not worth it or needs no delay.
Millis retryAfter(World &world, const Call &call, ResultCode code);

} // namespace radishford

// Keeps the request limit of the local backend server.
//
// Load pattern: a server in need states in its responses how many requests per second it takes from all daemons together. All of them pass through
// this daemon, so that it alone counts them, at hand-over: retries, hedges and requests that the server refuses are included.
#pragma once

#include "core/clock_type.h"
#include "core/units_type.h"

#include <cstdint>

namespace radishford {

struct Admission;
struct BackendStated;
struct Offer;
struct World;

// Applies the limit that a response states, or that it states none. A lower limit takes effect at once. A higher one, or none, does so only if the request was
// sent after the current limit was stated, since a response that was written before would bring back an older limit.
void applyStatedLimit(World &world, const BackendStated &event);

// True when the limit lets one more request be admitted now.
bool allowsAdmission(World &world);

// Reserves a token for an admitted request until it is handed over or ends before that.
void reserveToken(World &world, Admission &row);
void releaseToken(World &world, Admission &row);

// Uses up the token of a request that is handed over. False when the limit has fallen since its admission and does not allow it.
bool spendToken(World &world, Admission &row);

// Logs that requests are rejected because the limit is used up, if none was for a while.
void logLimitRejection(World &world);

// Returns the rank of a request while the server limits its requests: the lowest comes first. The priority decides, then calls of running requests come before
// others.
std::int32_t limitRank(const Offer &offer);

// Returns the time until a request of this rank that has a number of others before it may be admitted, if requests of lower ranks go on coming as they did in
// the last seconds; zero without a limit.
Millis timeUntilToken(const World &world, std::int64_t ahead, std::int32_t rank);

// Returns the mean time between two requests that the limit allows; zero without a limit.
Millis requestInterval(const World &world);

// Asks a limited server by a health check whether its limit still holds, when no response has told for a while.
void refreshLimit(World &world);

// Returns when queued requests may go on or the limit is refreshed; never() without a limit.
Millis nextRequestLimitDue(const World &world);

} // namespace radishford

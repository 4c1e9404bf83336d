// Rejects calls that no backend server can finish in time, and sets the retry delays for their callers.
#include "call/load_shedding_func.h"

#include "call/backend_speed_func.h"
#include "call/call_base.h"
#include "measure/latency_prediction_func.h"
#include "world/shutdown_func.h"
#include "world/world.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishford {

namespace {

// With less time left than this, no backend server is tried, whatever the class.
constexpr Millis MinTimeLeft{5};
// Time for an offer and its response to cross between regions. The time left at the inbound side does not include it.
constexpr Millis CrossRegionAllowance{20};
// The shortest known time of a class rises by this fraction towards each longer one, so that it follows servers that become slower.
constexpr std::int64_t ShortestTimeRiseDivisor = 64;
// Callers honour a retry delay of up to this share of the time that they have left.
constexpr double MaxRetryShare = 1.0 / 3;
// Retry delays are randomised between 0.75 and 1.25 of their default, so that callers do not return together.
constexpr double MinJitter = 0.75;
constexpr double JitterRange = 0.5;
// Delays until a restart are lengthened by up to this share.
constexpr double RestartJitter = 0.25;
// Delays until a request limit allows a request are lengthened by up to this share.
constexpr double LimitJitter = 0.5;

// Default retry delay for one reason of a refusal.
struct RetryDelay {
    ResultCode code_;
    Millis delay_;
};

// Reasons that may disappear soon. For any other reason a retry has no better chance.
constexpr std::array<RetryDelay, 9> RetryDelays{{
    {ResultCode::NotReady, Millis(150)}, // A read of the store, or the response of a peer.
    {ResultCode::NoBackend, Millis(100)}, // The next announcement of a backend server.
    {ResultCode::Overloaded, Millis(100)}, // About one response of a full server.
    {ResultCode::NoRoom, Millis(100)}, // As above.
    {ResultCode::BackendLimited, Millis(100)}, // As above, unless the limit lets it start later.
    {ResultCode::TooManyCalls, Millis(100)}, // As above.
    {ResultCode::BackendRefused, Millis(50)}, // A free slot.
    {ResultCode::RetryBudgetSpent, Millis(100)}, // The retried call gets a free first attempt again.
    {ResultCode::PeerUnreachable, Millis(50)}, // By then the peer is excluded from selection.
}};

// Returns the shortest known time of a class; zero when it is unknown.
Millis shortestTime(const ShortestTimes &times, const ClassName &name)
{
    const auto found = times.find(name);
    return found == times.end() ? Millis() : found->second;
}

} // namespace

void recordShortestTime(ShortestTimes &times, const ClassName &name, Millis duration)
{
    const auto [entry, added] = times.try_emplace(name, duration);
    if (added || duration < entry->second) {
        entry->second = duration;
        return;
    }
    const std::int64_t step = (duration.micros() - entry->second.micros()) / ShortestTimeRiseDivisor;
    entry->second = Millis::fromMicros(entry->second.micros() + step);
}

bool cannotAnswerWithin(const World &world, const ClassName &name, Millis timeLeft)
{
    return timeLeft < std::max(MinTimeLeft, shortestTime(world.calls_.shortestResponses_, name));
}

Millis minOfferTime(const World &world, const ClassName &name)
{
    return CrossRegionAllowance + std::max(MinTimeLeft, shortestTime(world.calls_.shortestResponses_, name));
}

bool cannotFinishInTime(const World &world, const Admission &row, Millis wait)
{
    const Millis shortest = shortestTime(world.admissions_.shortestServiceTimes_, row.offer_.class_);
    // Under a request limit, a request that likely does not finish in time would use up the place of one that does.
    const Millis needed = world.admissions_.limit_.rate_ ? std::max(shortest, typicalServiceTime(world, row.offer_)) : shortest;
    return row.deadline_ - world.now_ - wait < CrossRegionAllowance + needed;
}

Millis retryDelay(const World &world, ResultCode code, double draw)
{
    if (code == ResultCode::DaemonLeaving) {
        // A retry before the restart would be refused again, so the delay is not shortened.
        return Millis::fromFractionalMillis(timeUntilRestart(world).fractionalMillis() * (1 + draw * RestartJitter));
    }
    const auto found = std::find_if(RetryDelays.begin(), RetryDelays.end(), [&](const RetryDelay &row) { return row.code_ == code; });
    const Millis delay = found == RetryDelays.end() ? Millis() : found->delay_;
    return Millis::fromFractionalMillis(delay.fractionalMillis() * (MinJitter + draw * JitterRange));
}

Millis retryAfter(World &world, const Call &call, ResultCode code)
{
    if (retryDelay(world, code, 0) == Millis()) {
        return Millis();
    }
    const Millis delay = retryDelay(world, code, world.random_.uniformReal());
    if (code == ResultCode::DaemonLeaving) {
        return delay;
    }
    const Millis timeLeft = call.deadline_ - world.now_;
    const Millis limitWait = expectedLimitWait(world, call.service_);
    if (limitWait > delay) {
        // A retry before a server may take it would be refused again, so the delay is not shortened.
        const Millis spreadWait = Millis::fromFractionalMillis(limitWait.fractionalMillis() * (1 + world.random_.uniformReal() * LimitJitter));
        return cannotAnswerWithin(world, call.class_, timeLeft - spreadWait) ? Millis() : spreadWait;
    }
    const Millis cappedDelay = Millis::fromFractionalMillis(std::min(delay.fractionalMillis(), timeLeft.fractionalMillis() * MaxRetryShare));
    return cannotAnswerWithin(world, call.class_, timeLeft - cappedDelay) ? Millis() : cappedDelay;
}

} // namespace radishford

// Decides when a call is turned away because nobody can end it in time, and when its caller may come again.
#include "call/turn_away_func.h"

#include "call/call_base.h"
#include "world/world.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishford {

namespace {

// With less time left than this, no backend server is asked, whatever the class.
constexpr Millis MinTimeLeft{5};
// The way of an offer and its answer between regions, which the time left at the inbound side does not show.
constexpr Millis CrossRegionAllowance{20};
// The shortest time known of a class rises towards each longer one by this part, so that it follows servers that have become slower.
constexpr std::int64_t ShortestTimeRiseDivisor = 64;
// Callers honour a wait of up to this part of the time that they have left.
constexpr double MaxRetryShare = 1.0 / 3;
// Spread of returning callers around their wait.
constexpr double MinJitter = 0.75;
constexpr double JitterRange = 0.5;

// How soon the reason of a refusal may have gone.
struct RetryDelay {
    ResultCode code_;
    Millis delay_;
};

// A reason without a row is no better a little later.
constexpr std::array<RetryDelay, 8> RetryDelays{{
    {ResultCode::NotReady, Millis(150)}, // A read of the store, or a peer's answer.
    {ResultCode::NoBackend, Millis(100)}, // The next announcement of a backend server.
    {ResultCode::Overloaded, Millis(100)}, // About one answer of a full server.
    {ResultCode::NoRoom, Millis(100)}, // As above.
    {ResultCode::TooManyCalls, Millis(100)}, // As above.
    {ResultCode::BackendRefused, Millis(50)}, // A free slot.
    {ResultCode::RetryBudgetSpent, Millis(100)}, // The returning call has a first attempt again.
    {ResultCode::PeerUnreachable, Millis(50)}, // By then the peer is avoided.
}};

// The shortest time known of a class; zero when none is.
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

bool cannotFinishInTime(const World &world, const Admission &row)
{
    return row.deadline_ - world.now_ < CrossRegionAllowance + shortestTime(world.admissions_.shortestServiceTimes_, row.offer_.class_);
}

Millis usualReturnWait(ResultCode code)
{
    const auto found = std::find_if(RetryDelays.begin(), RetryDelays.end(), [&](const RetryDelay &row) { return row.code_ == code; });
    return found == RetryDelays.end() ? Millis() : found->delay_;
}

Millis retryAfter(World &world, const Call &call, ResultCode code)
{
    const Millis defaultDelay = usualReturnWait(code);
    if (defaultDelay == Millis()) {
        return Millis();
    }
    const Millis timeLeft = call.deadline_ - world.now_;
    const double jitteredDelay = defaultDelay.fraction() * (MinJitter + world.random_.unit() * JitterRange);
    const Millis delay = Millis::fromFraction(std::min(jitteredDelay, timeLeft.fraction() * MaxRetryShare));
    return cannotAnswerWithin(world, call.class_, timeLeft - delay) ? Millis() : delay;
}

} // namespace radishford

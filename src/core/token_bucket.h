// Token bucket that starts empty, so that a restart grants no extra burst.
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace radishford {

// Grants at most rate * elapsed + burst units over any span of time.
class TokenBucket
{
public:
    // An empty bucket that grants nothing until a rate is set.
    TokenBucket() = default;

    // An empty bucket with a rate in units per second and a burst in units.
    TokenBucket(double perSecond, double burst, Millis now)
        : perSecond_(perSecond)
        , burst_(burst)
        , refilledAt_(now)
    {
    }

    // Changes rate and burst; units already earned are kept up to the new burst.
    void setRate(double perSecond, double burst, Millis now)
    {
        refill(now);
        perSecond_ = perSecond;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst_);
    }

    // Takes the units if they are there.
    bool take(double units, Millis now)
    {
        if (!has(units, now)) {
            return false;
        }
        tokens_ -= units;
        return true;
    }

    // True when the units are there; nothing is taken.
    bool has(double units, Millis now)
    {
        refill(now);
        return tokens_ >= units;
    }

    // Adds units outside the rate, up to the burst.
    void earn(double units)
    {
        tokens_ = std::min(burst_, tokens_ + units);
    }

    // When the units will be there, or Millis::never() if they exceed the burst or the rate is zero.
    [[nodiscard]] Millis readyAt(double units, Millis now)
    {
        refill(now);
        if (tokens_ >= units) {
            return now;
        }
        if (units > burst_ || perSecond_ <= 0) {
            return Millis::never();
        }
        constexpr double MicrosPerSecond = 1e6;
        return now + Millis::fromMicros(static_cast<std::int64_t>((units - tokens_) / perSecond_ * MicrosPerSecond) + 1);
    }

private:
    // Adds what was earned since the last call.
    void refill(Millis now)
    {
        if (now <= refilledAt_) {
            return;
        }
        constexpr double MillisPerSecond = 1000.0;
        tokens_ = std::min(burst_, tokens_ + perSecond_ * (now - refilledAt_).fraction() / MillisPerSecond);
        refilledAt_ = now;
    }

    // Units per second.
    double perSecond_ = 0;
    // Most units the bucket holds.
    double burst_ = 0;
    // Units it holds.
    double tokens_ = 0;
    // When it was last filled.
    Millis refilledAt_;
};

} // namespace radishford

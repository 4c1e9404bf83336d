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
        , filledAt_(now)
    {
    }

    // Changes rate and burst; units already earned are kept up to the new burst.
    void setRate(double perSecond, double burst, Millis now)
    {
        fill(now);
        perSecond_ = perSecond;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

    // Takes the units if they are there.
    bool take(double units, Millis now)
    {
        if (!has(units, now)) {
            return false;
        }
        level_ -= units;
        return true;
    }

    // True when the units are there; nothing is taken.
    bool has(double units, Millis now)
    {
        fill(now);
        return level_ >= units;
    }

    // Adds units outside the rate, up to the burst.
    void earn(double units)
    {
        level_ = std::min(burst_, level_ + units);
    }

    // When the units will be there, or Millis::never() if they exceed the burst or the rate is zero.
    [[nodiscard]] Millis readyAt(double units, Millis now)
    {
        fill(now);
        if (level_ >= units) {
            return now;
        }
        if (units > burst_ || perSecond_ <= 0) {
            return Millis::never();
        }
        constexpr double MicrosPerSecond = 1e6;
        return now + Millis::fromMicros(static_cast<std::int64_t>((units - level_) / perSecond_ * MicrosPerSecond) + 1);
    }

private:
    // Adds what was earned since the last call.
    void fill(Millis now)
    {
        if (now <= filledAt_) {
            return;
        }
        constexpr double MillisPerSecond = 1000.0;
        level_ = std::min(burst_, level_ + perSecond_ * (now - filledAt_).fraction() / MillisPerSecond);
        filledAt_ = now;
    }

    // Units per second.
    double perSecond_ = 0;
    // Most units the bucket holds.
    double burst_ = 0;
    // Units it holds.
    double level_ = 0;
    // When it was last filled.
    Millis filledAt_;
};

} // namespace radishford

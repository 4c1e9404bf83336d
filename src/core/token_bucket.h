// Token bucket rate limiter. It starts empty, so that a restart grants no extra burst.
#pragma once

#include "core/clock_type.h"

#include <algorithm>

namespace radishford {

// Grants at most rate * elapsed + burst tokens in any period of time.
class TokenBucket
{
public:
    // An empty bucket that grants nothing until a rate is set.
    TokenBucket() = default;

    // An empty bucket with a rate in tokens per second and a burst in tokens.
    TokenBucket(double perSecond, double burst, Millis now)
        : perSecond_(perSecond)
        , burst_(burst)
        , refilledAt_(now)
    {
    }

    // Changes rate and burst. Tokens already in the bucket are kept up to the new burst.
    void setRate(double perSecond, double burst, Millis now)
    {
        refill(now);
        perSecond_ = perSecond;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst_);
    }

    // Takes the tokens and returns true if the bucket holds that many; takes nothing otherwise.
    bool tryTake(double units, Millis now)
    {
        if (!hasTokens(units, now)) {
            return false;
        }
        tokens_ -= units;
        return true;
    }

    // Returns true when the bucket holds that many tokens. Takes nothing.
    bool hasTokens(double units, Millis now)
    {
        refill(now);
        return tokens_ >= units;
    }

    // Returns the tokens that the bucket holds at a time that is not earlier than its last use.
    [[nodiscard]] double tokensAt(Millis now) const
    {
        TokenBucket copy = *this;
        copy.refill(now);
        return copy.tokens_;
    }

    // Adds tokens independent of the rate, up to the burst.
    void addTokens(double units)
    {
        tokens_ = std::min(burst_, tokens_ + units);
    }

    // Returns the time at which the bucket will hold that many tokens, or Millis::never() if they exceed the burst or the rate is zero.
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
    // Adds the tokens for the time since the last refill.
    void refill(Millis now)
    {
        if (now <= refilledAt_) {
            return;
        }
        constexpr double MillisPerSecond = 1000.0;
        tokens_ = std::min(burst_, tokens_ + perSecond_ * (now - refilledAt_).fractionalMillis() / MillisPerSecond);
        refilledAt_ = now;
    }

    // Rate in tokens per second.
    double perSecond_ = 0;
    // Capacity in tokens.
    double burst_ = 0;
    // Tokens in the bucket.
    double tokens_ = 0;
    // Time of the last refill.
    Millis refilledAt_;
};

} // namespace radishford

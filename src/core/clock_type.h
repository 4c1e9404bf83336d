// Type for durations and time points: given in milliseconds, stored in whole microseconds.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace radishford {

// A duration, or a time point given as the duration since the clock of the process started.
class Millis
{
public:
    // Zero duration.
    constexpr Millis() = default;

    // A whole number of milliseconds.
    constexpr explicit Millis(std::int64_t milliseconds)
        : micros_(milliseconds * MicrosPerMilli)
    {
    }

    // From microseconds.
    static constexpr Millis fromMicros(std::int64_t micros)
    {
        Millis result;
        result.micros_ = micros;
        return result;
    }

    // Milliseconds including the fraction. Fractions of a microsecond are cut off.
    static constexpr Millis fromFractionalMillis(double milliseconds)
    {
        return fromMicros(static_cast<std::int64_t>(milliseconds * static_cast<double>(MicrosPerMilli)));
    }

    // A time point later than any other, used for events that are not scheduled.
    static constexpr Millis never()
    {
        return fromMicros(std::numeric_limits<std::int64_t>::max());
    }

    // Whole milliseconds, rounded towards zero.
    [[nodiscard]] constexpr std::int64_t count() const
    {
        return micros_ / MicrosPerMilli;
    }

    // Whole microseconds.
    [[nodiscard]] constexpr std::int64_t micros() const
    {
        return micros_;
    }

    // Milliseconds including the fraction. Fractions of a microsecond are cut off.
    [[nodiscard]] constexpr double fractionalMillis() const
    {
        return static_cast<double>(micros_) / MicrosPerMilli;
    }

    // The time point later by a duration, or the sum of two durations.
    constexpr Millis operator+(Millis other) const
    {
        return fromMicros(micros_ + other.micros_);
    }

    // The duration between two time points, or the time point earlier by a duration.
    constexpr Millis operator-(Millis other) const
    {
        return fromMicros(micros_ - other.micros_);
    }

    // A multiple of a duration.
    constexpr Millis operator*(std::int64_t factor) const
    {
        return fromMicros(micros_ * factor);
    }

    // Orders durations by length and time points by time.
    constexpr auto operator<=>(const Millis &) const = default;

private:
    static constexpr std::int64_t MicrosPerMilli = 1000;

    // Microseconds.
    std::int64_t micros_ = 0;
};

} // namespace radishford

// The project's one type for time: milliseconds, stored in whole microseconds.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace radishford {

// A span of time, or a moment given as the span since the process's clock started. Counted in milliseconds, kept in microseconds.
class Millis
{
public:
    // Zero.
    constexpr Millis() = default;

    // A whole number of milliseconds.
    constexpr explicit Millis(std::int64_t milliseconds)
        : micros_(milliseconds * MicrosPerMilli)
    {
    }

    // A number of microseconds.
    static constexpr Millis fromMicros(std::int64_t micros)
    {
        Millis result;
        result.micros_ = micros;
        return result;
    }

    // Milliseconds with their fraction.
    static constexpr Millis fromFraction(double milliseconds)
    {
        return fromMicros(static_cast<std::int64_t>(milliseconds * static_cast<double>(MicrosPerMilli)));
    }

    // A moment later than every other one.
    static constexpr Millis never()
    {
        return fromMicros(std::numeric_limits<std::int64_t>::max());
    }

    // Whole milliseconds, rounded down.
    [[nodiscard]] constexpr std::int64_t count() const
    {
        return micros_ / MicrosPerMilli;
    }

    // Whole microseconds.
    [[nodiscard]] constexpr std::int64_t micros() const
    {
        return micros_;
    }

    // Milliseconds with their fraction.
    [[nodiscard]] constexpr double fraction() const
    {
        return static_cast<double>(micros_) / MicrosPerMilli;
    }

    // Later by a span.
    constexpr Millis operator+(Millis other) const
    {
        return fromMicros(micros_ + other.micros_);
    }

    // The span between two moments, or a moment earlier by a span.
    constexpr Millis operator-(Millis other) const
    {
        return fromMicros(micros_ - other.micros_);
    }

    // A multiple of a span.
    constexpr Millis operator*(std::int64_t factor) const
    {
        return fromMicros(micros_ * factor);
    }

    // Orders by length, or by time for moments.
    constexpr auto operator<=>(const Millis &) const = default;

private:
    static constexpr std::int64_t MicrosPerMilli = 1000;

    // The span in microseconds.
    std::int64_t micros_ = 0;
};

} // namespace radishford

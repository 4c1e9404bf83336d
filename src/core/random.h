// Seeded random numbers, equal on every machine for equal seeds.
#pragma once

#include <cstdint>
#include <random>

namespace radishford {

// Source of all chance in the decision library.
class Random
{
public:
    // Starts the sequence of this seed.
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    // A number from 0 to bound - 1. The bound must not be zero.
    std::uint64_t below(std::uint64_t bound)
    {
        return engine_() % bound;
    }

    // A number from 0 up to, but not including, 1.
    double unit()
    {
        constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(engine_() >> 11U) * Scale;
    }

    // Any 64 bits.
    std::uint64_t bits()
    {
        return engine_();
    }

private:
    // The standard fixes this engine's sequence.
    std::mt19937_64 engine_;
};

} // namespace radishford

// Seeded random numbers; equal seeds give equal sequences on every machine.
#pragma once

#include <cstdint>
#include <random>

namespace radishford {

// The only source of random numbers in the decision code, so that runs can be reproduced.
class Random
{
public:
    // Starts the sequence of a seed.
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    // Returns a number from 0 to bound - 1. The bound must not be zero.
    std::uint64_t uniformBelow(std::uint64_t bound)
    {
        return engine_() % bound;
    }

    // Returns a number from 0 up to, but not including, 1.
    double uniformReal()
    {
        constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(engine_() >> 11U) * Scale;
    }

    // Returns 64 random bits.
    std::uint64_t bits64()
    {
        return engine_();
    }

private:
    // The C++ standard specifies the sequence of this engine.
    std::mt19937_64 engine_;
};

} // namespace radishford

// Fast hashes of byte strings, not cryptographic.
#pragma once

#include <cstdint>
#include <string_view>

namespace radishford {

// Returns a 64-bit hash of the bytes. To hash several strings in sequence, pass the hash of the previous one as the seed.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

} // namespace radishford

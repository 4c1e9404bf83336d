// Fast hashes of byte strings.
#pragma once

#include <cstdint>
#include <string_view>

namespace radishford {

// 64-bit hash of the bytes, chained from an earlier hash.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

} // namespace radishford

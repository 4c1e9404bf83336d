// Fast hashes of byte strings by xxHash, not cryptographic.
#include "core/hash.h"

#include <xxhash.h>

namespace radishford {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace radishford

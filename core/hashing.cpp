// Purpose: stable hashes by xxHash.
#include "core/hashing.hpp"

#include <xxhash.h>

namespace fescuevane
{

std::uint64_t compute_stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace fescuevane

// Purpose: hashes that are the same in every process, for assigning entities
// to shards. `std::hash` may differ between builds.
#ifndef FESCUEVANE_CORE_HASHING_HPP
#define FESCUEVANE_CORE_HASHING_HPP

#include <cstdint>
#include <string_view>

namespace fescuevane
{

// 64-bit xxHash of `bytes`; `seed` selects one of many independent functions.
std::uint64_t compute_stable_hash(std::string_view bytes,
                                  std::uint64_t    seed = 0);

} // namespace fescuevane

#endif

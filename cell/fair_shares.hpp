// Purpose: max-min fair division of a capacity. Internal to the package.
#ifndef FESCUEVANE_CELL_FAIR_SHARES_HPP
#define FESCUEVANE_CELL_FAIR_SHARES_HPP

#include <cstdint>
#include <vector>

namespace fescuevane::cell
{

// Divides `capacity` evenly; what a demand leaves of its share goes to the
// larger ones. The shares are in the order of the demands.
std::vector<std::uint32_t>
divide_fairly(std::vector<std::uint32_t> const& demands,
              std::uint32_t                     capacity);

} // namespace fescuevane::cell

#endif

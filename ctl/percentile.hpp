// Purpose: percentiles of measured times.
#ifndef FESCUEVANE_CTL_PERCENTILE_HPP
#define FESCUEVANE_CTL_PERCENTILE_HPP

#include <cstdint>
#include <span>

namespace fescuevane::ctl
{

// The nearest-rank percentile: the smallest value that at least `percent` of
// the values don't exceed. `sorted` ascends; 0 when it is empty. `percent` is
// from 0 to 100.
std::int64_t find_percentile(std::span<std::int64_t const> sorted,
                             double                        percent);

} // namespace fescuevane::ctl

#endif

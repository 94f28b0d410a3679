// Purpose: percentiles of measured times.
#include "ctl/percentile.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstddef>

namespace fescuevane::ctl
{

std::int64_t find_percentile(std::span<std::int64_t const> sorted,
                             double                        percent)
{
    assert(percent >= 0 && percent <= 100);
    assert(std::is_sorted(sorted.begin(), sorted.end()));
    if (sorted.empty())
    {
        return 0;
    }
    auto const size = static_cast<double>(sorted.size());
    auto const rank =
        static_cast<std::size_t>(std::ceil(percent * size / 100.0));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

} // namespace fescuevane::ctl

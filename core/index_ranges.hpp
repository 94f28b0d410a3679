// Purpose: set of indices, kept as ranges.
#ifndef FESCUEVANE_CORE_INDEX_RANGES_HPP
#define FESCUEVANE_CORE_INDEX_RANGES_HPP

#include <boost/icl/interval_set.hpp>
#include <cstdint>

namespace fescuevane
{

// Its size grows with the number of gaps, not with the number of indices.
using index_ranges =
    boost::icl::interval_set<std::uint32_t, std::less,
                             boost::icl::right_open_interval<std::uint32_t>>;

} // namespace fescuevane

#endif

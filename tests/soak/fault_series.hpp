// Purpose: faults of one kind that follow each other.
#ifndef FESCUEVANE_TESTS_SOAK_FAULT_SERIES_HPP
#define FESCUEVANE_TESTS_SOAK_FAULT_SERIES_HPP

#include "core/instant.hpp"

#include <cstddef>

namespace fescuevane::soak
{

struct fault_series
{
    std::size_t kind_ = 0; // row of the table of kinds
    int         left_ = 0;
    instant     next_at_;
};

} // namespace fescuevane::soak

#endif

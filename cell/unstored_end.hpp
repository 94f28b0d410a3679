// Purpose: an end that a target may not forget yet.
#ifndef FESCUEVANE_CELL_UNSTORED_END_HPP
#define FESCUEVANE_CELL_UNSTORED_END_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct unstored_end
{
    std::uint64_t number_ = 0; // of the end
    job_id        job_;
    std::uint64_t sequence_ = 0; // of the job's change that holds its effect
};

} // namespace fescuevane::cell

#endif

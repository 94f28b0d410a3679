// Purpose: an end that its target must keep until its effect is stored.
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
    std::uint64_t sequence_ = 0; // of the job change that holds its effect
};

} // namespace fescuevane::cell

#endif

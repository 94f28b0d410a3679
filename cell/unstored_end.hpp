// Purpose: an end that its target must keep until its effect is stored.
#ifndef FESCUEVANE_CELL_UNSTORED_END_HPP
#define FESCUEVANE_CELL_UNSTORED_END_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::cell
{

struct unstored_end
{
    std::uint64_t number_ = 0; // of the end
    job_id        job_;
    // Of the job change that holds its effect, 0: the stored row holds it.
    // None: the planner hasn't seen the end yet.
    std::optional<std::uint64_t> sequence_;
};

} // namespace fescuevane::cell

#endif

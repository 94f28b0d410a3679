// Purpose: call that is held until its shard is loaded.
#ifndef FESCUEVANE_CELL_DEFERRED_CALL_HPP
#define FESCUEVANE_CELL_DEFERRED_CALL_HPP

#include "cell/job_call.hpp"
#include "cell/origin.hpp"

namespace fescuevane::cell
{

struct deferred_call
{
    origin   origin_;
    job_call call_;
};

} // namespace fescuevane::cell

#endif

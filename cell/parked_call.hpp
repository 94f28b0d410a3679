// Purpose: a call that waits until its shard is loaded.
#ifndef FESCUEVANE_CELL_PARKED_CALL_HPP
#define FESCUEVANE_CELL_PARKED_CALL_HPP

#include "cell/job_call.hpp"
#include "cell/origin.hpp"

namespace fescuevane::cell
{

struct parked_call
{
    origin   origin_;
    job_call call_;
};

} // namespace fescuevane::cell

#endif

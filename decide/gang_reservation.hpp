// Purpose: targets that are held for one gang.
#ifndef FESCUEVANE_DECIDE_GANG_RESERVATION_HPP
#define FESCUEVANE_DECIDE_GANG_RESERVATION_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"

#include <vector>

namespace fescuevane::decide
{

// At most one gang reserves at a time. The targets get no other work, but for
// batches that are expected to end before `expected_start_`.
struct gang_reservation
{
    bool                   active_ = false;
    job_key                job_;
    instant                deadline_;       // it is given up then
    instant                expected_start_; // when enough is free
    std::vector<target_id> targets_;
};

} // namespace fescuevane::decide

#endif

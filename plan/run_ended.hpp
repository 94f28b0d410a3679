// Purpose: event: a run has ended.
#ifndef FESCUEVANE_PLAN_RUN_ENDED_HPP
#define FESCUEVANE_PLAN_RUN_ENDED_HPP

#include "core/ids.hpp"
#include "core/run_end.hpp"
#include "core/run_key.hpp"

#include <string>

namespace fescuevane::plan
{

struct run_ended
{
    run_key const     run_;
    target_id const   target_;
    run_end const     end_ = run_end::done;
    std::string const checkpoint_;     // empty: none
    bool const        unread_ = false; // declared over, may still be reported

    friend bool operator==(run_ended const&, run_ended const&) = default;
};

} // namespace fescuevane::plan

#endif

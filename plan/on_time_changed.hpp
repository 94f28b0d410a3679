// Purpose: event: the process ran late and is on time again.
#ifndef FESCUEVANE_PLAN_ON_TIME_CHANGED_HPP
#define FESCUEVANE_PLAN_ON_TIME_CHANGED_HPP

#include "core/on_time_span.hpp"

namespace fescuevane::plan
{

// Stalls of runs are detected by the reports that were read in this span.
struct on_time_changed
{
    on_time_span const on_time_;

    friend bool operator==(on_time_changed const&,
                           on_time_changed const&) = default;
};

} // namespace fescuevane::plan

#endif

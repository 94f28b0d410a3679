// Purpose: an open stage with the rows that it belongs to. Internal to the
// package.
#ifndef FESCUEVANE_PLAN_STAGE_VIEW_HPP
#define FESCUEVANE_PLAN_STAGE_VIEW_HPP

#include "core/stage_key.hpp"
#include "plan/run_table.hpp"

namespace fescuevane
{
struct queue_policy;
struct step_spec;
} // namespace fescuevane

namespace fescuevane::plan
{

struct job_row;
struct planner;
struct stage_row;

// Looked up once for all targets that a stage is checked against, because each
// look-up hashes the job id. Valid until a row of these tables is added or
// removed.
struct stage_view
{
    stage_key const&          key_;
    stage_row const&          row_;
    job_row const&            job_;
    step_spec const&          step_;
    queue_policy const* const queue_; // null: not configured
    // Runs of the same origin; empty for a stage without a spread limit.
    run_table::rows const same_origin_;
};

// The stage must be open.
stage_view view_stage(planner const& context, stage_key const& key);

// True when runs of the stage need a ticket of the policy service.
bool needs_ticket(stage_view const& stage);

} // namespace fescuevane::plan

#endif

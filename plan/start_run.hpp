// Purpose: command: start a run on a target.
#ifndef FESCUEVANE_PLAN_START_RUN_HPP
#define FESCUEVANE_PLAN_START_RUN_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"
#include "core/staged_job.hpp"

#include <memory>
#include <string>

namespace fescuevane::plan
{

struct start_run
{
    run_key const                           run_;
    target_id const                         target_;
    std::shared_ptr<staged_job const> const job_;
    std::string const                       checkpoint_; // empty: from scratch
    std::string const                       ticket_;     // empty: none needed

    friend bool operator==(start_run const&, start_run const&) = default;
};

} // namespace fescuevane::plan

#endif

// Purpose: what a target reports of one task.
#ifndef FESCUEVANE_ENTRY_TASK_REPORT_HPP
#define FESCUEVANE_ENTRY_TASK_REPORT_HPP

#include "core/ids.hpp"
#include "core/job_spec.hpp"
#include "core/resources.hpp"
#include "core/task_key.hpp"
#include "core/work_kind.hpp"
#include "entry/report_kind.hpp"

#include <memory>
#include <string>

namespace fescuevane::entry
{

struct task_report
{
    task_key const     task_;
    report_kind const  kind_ = report_kind::running;
    outcome const      outcome_ = outcome::succeeded; // when ended
    shared_bytes const body_;                         // when ended
    std::string const  reason_;                       // when ended or rejected
    bool const         checkpointed_ = false;         // when ended
    resources const    usage_;                        // when running
    resources const    reservation_;                  // in snapshots
    std::shared_ptr<job_spec const> const spec_; // in snapshots, no payload

    friend bool operator==(task_report const&, task_report const&) = default;
};

} // namespace fescuevane::entry

#endif

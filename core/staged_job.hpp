// Purpose: a job of several steps, as its caller submits it.
#ifndef FESCUEVANE_CORE_STAGED_JOB_HPP
#define FESCUEVANE_CORE_STAGED_JOB_HPP

#include "core/accepted_policy.hpp"
#include "core/ids.hpp"
#include "core/step_spec.hpp"
#include "core/task_alias.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuevane
{

// Unix times are milliseconds since 1970.
struct staged_job
{
    job_id const                    id_;           // chosen by the caller
    organisation_id const           organisation_; // empty: open queue, no key
    queue_id const                  queue_;
    service_id const                service_; // its targets run the tasks
    std::string const               payload_; // handed to each task unchanged
    std::vector<step_spec> const    steps_;
    std::uint32_t const             repeat_count_ = 0; // 0: runs once, at once
    std::int64_t const              first_due_unix_ms_ = 0;
    std::int64_t const              interval_ms_ = 0; // between occurrences
    std::int64_t const              accepted_unix_ms_ = 0;
    std::optional<task_alias> const alias_; // stands for tasks of another job
    // None in jobs that earlier versions stored.
    std::optional<accepted_policy> const policy_;

    friend bool operator==(staged_job const&, staged_job const&) = default;
};

} // namespace fescuevane

#endif

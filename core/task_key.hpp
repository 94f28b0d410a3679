// Purpose: the fleet-wide key of one attempt to run one task of a job.
#ifndef FESCUEVANE_CORE_TASK_KEY_HPP
#define FESCUEVANE_CORE_TASK_KEY_HPP

#include "core/job_key.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane
{

struct task_key
{
    job_key       job_;
    std::uint32_t index_ = 0;   // task of the job, from 0
    std::uint32_t attempt_ = 0; // attempt at this task, from 1

    friend auto operator<=>(task_key const&, task_key const&) = default;
};

} // namespace fescuevane

template <>
struct std::hash<fescuevane::task_key>
{
    std::size_t operator()(fescuevane::task_key const& key) const
    {
        std::size_t const job = std::hash<fescuevane::job_key>{}(key.job_);
        return (job * 31 + key.index_) * 31 + key.attempt_;
    }
};

#endif

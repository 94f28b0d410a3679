// Purpose: the fleet-wide key of a job.
#ifndef FESCUEVANE_CORE_JOB_KEY_HPP
#define FESCUEVANE_CORE_JOB_KEY_HPP

#include "core/ids.hpp"

#include <compare>

namespace fescuevane
{

// A caller chooses job ids freely, so they are unique only within a team.
struct job_key
{
    team_id team_;
    job_id  job_;

    friend auto operator<=>(job_key const&, job_key const&) = default;
};

} // namespace fescuevane

template <>
struct std::hash<fescuevane::job_key>
{
    std::size_t operator()(fescuevane::job_key const& key) const
    {
        std::size_t const team = std::hash<fescuevane::team_id>{}(key.team_);
        return team * 31 + std::hash<fescuevane::job_id>{}(key.job_);
    }
};

#endif

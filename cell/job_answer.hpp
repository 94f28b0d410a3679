// Purpose: reply to a call about one job.
#ifndef FESCUEVANE_CELL_JOB_ANSWER_HPP
#define FESCUEVANE_CELL_JOB_ANSWER_HPP

#include "cell/job_outcome.hpp"
#include "core/job_phase.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct job_answer
{
    job_outcome  outcome_ = job_outcome::unavailable;
    job_phase    phase_ = job_phase::pending; // when known
    std::int64_t retry_after_ms_ = 0;         // 0: unspecified

    // Replies to offers: number of tasks that could start now, that could
    // start once other work has ended, and that have room now, with or without
    // tickets. Targets that the policy service hasn't been heard about yet
    // count in none of these, but in `unknown_`.
    std::uint32_t fit_now_ = 0;
    std::uint32_t fit_later_ = 0;
    std::uint32_t fit_free_ = 0;
    std::uint32_t unknown_ = 0;

    friend bool operator==(job_answer const&, job_answer const&) = default;
};

} // namespace fescuevane::cell

#endif

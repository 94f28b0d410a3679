// Purpose: what a new job can achieve at a shard.
#ifndef FESCUEVANE_PLAN_JOB_OUTLOOK_HPP
#define FESCUEVANE_PLAN_JOB_OUTLOOK_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class job_outlook : std::uint8_t
{
    on_time,   // ends within its objective
    late,      // ends after it, with a part of its value
    worthless, // ends when no value is left
    no_room    // lasts, and the shard has no room for it
};

} // namespace fescuevane::plan

#endif

// Purpose: state of a staged job as its caller sees it.
#ifndef FESCUEVANE_CORE_JOB_PHASE_HPP
#define FESCUEVANE_CORE_JOB_PHASE_HPP

#include <cstdint>

namespace fescuevane
{

enum class job_phase : std::uint8_t
{
    pending,   // no task has started
    running,   //
    completed, // all tasks have ended as done
    failed,    // a task, or a gang, used up its attempts
    canceled
};

constexpr bool is_final(job_phase phase)
{
    return phase >= job_phase::completed;
}

} // namespace fescuevane

#endif

// Purpose: one step of a staged job, as its caller describes it.
#ifndef FESCUEVANE_CORE_STEP_SPEC_HPP
#define FESCUEVANE_CORE_STEP_SPEC_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane
{

// A step is a number of equal tasks that may start when the steps before it
// have ended.
struct step_spec
{
    std::uint32_t const              count_ = 1;       // tasks
    resources const                  demand_;          // of one task
    std::int64_t const               estimate_ms_ = 0; // run time, 0: unknown
    std::vector<std::uint32_t> const after_;    // steps that must end first
    bool const          checkpointing_ = false; // resumes from a checkpoint
    bool const          gang_ = false;          // tasks work only all together
    bool const          same_rack_ = false;     // slow when spread over racks
    bool const          speculative_ = false;   // copies may run in parallel
    bool const          perpetual_ = false; // runs until the job is canceled
    bool const          filler_ = false;    // uses processors that others leave
    std::string const   required_label_;    // of the target, empty: any
    rack_id const       near_rack_;        // where the data is, empty: anywhere
    std::uint32_t const spread_limit_ = 0; // tasks on one target, 0: no limit
    std::string const   image_;            // tasks of one image behave alike
    std::int64_t const  latency_target_ms_ = 0; // tail bound, 0: none
    std::uint32_t const max_unavailable_ = 0;   // by our own actions, 0: any

    friend bool operator==(step_spec const&, step_spec const&) = default;
};

// True when a task of the step has a result that counts once, so that it may
// not start again while an end of its last run may be left to read.
inline bool has_single_result(step_spec const& step)
{
    return !step.perpetual_ && !step.speculative_;
}

} // namespace fescuevane

#endif

// Purpose: what is known of the work on a target that doesn't answer, and until
// when more may become known.
#ifndef FESCUEVANE_CORE_RUN_OUTLOOK_HPP
#define FESCUEVANE_CORE_RUN_OUTLOOK_HPP

#include "core/instant.hpp"
#include "core/run_certainty.hpp"

namespace fescuevane
{

struct run_outlook
{
    instant heard_at_;                      // latest answer of the target
    instant lapses_at_ = instant::never();  // no lease goes on after this
    instant settles_at_ = instant::never(); // no end is awaited after this

    friend bool operator==(run_outlook const&, run_outlook const&) = default;
};

// An end may be unread only after the lapse: until then the run may go on.
inline run_certainty judge_runs(run_outlook const& outlook, instant now)
{
    if (outlook.lapses_at_ > now)
    {
        return run_certainty::may_run;
    }
    return outlook.settles_at_ > now ? run_certainty::may_have_ended
                                     : run_certainty::settled;
}

} // namespace fescuevane

#endif

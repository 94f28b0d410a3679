// Purpose: settings of a planner.
#ifndef FESCUEVANE_PLAN_SETTINGS_HPP
#define FESCUEVANE_PLAN_SETTINGS_HPP

#include <cstdint>

namespace fescuevane::plan
{

// Intervals stand here only; tables store deadlines.
struct settings
{
    std::uint32_t run_base_ = 0; // run numbers of this ownership are higher

    // Advice
    // Questions in flight. Answers that take long are few, and don't hold up
    // those for urgent work.
    std::uint32_t max_short_requests_ = 8;
    std::uint32_t max_long_requests_ = 4;
    double        advice_long_ms_ = 150;           // time of a long answer
    std::uint32_t advice_targets_ = 30;            // named in one question
    std::int64_t  advice_retry_micros_ = 200'000;  // after a failed question
    std::int64_t  advice_margin_micros_ = 150'000; // ticket unused before end

    // Targets that fail, stall or refuse
    std::uint32_t probation_failures_ =
        2; // failures of different jobs without success
    std::int64_t probation_micros_ = 4'000'000;
    std::int64_t refusal_pause_micros_ = 150'000;
    std::int64_t stall_micros_ = 2'500'000; // without progress of a run
    // Late spans of the process put off the judgement of a stall by no more.
    std::int64_t max_stall_delay_micros_ = 10'000'000;
    // A question to a target is answered or given up within this time, so that
    // reports which are read later after a late span were sent after it.
    std::int64_t report_micros_ = 2'000'000;

    // Copies of slow tasks
    double       copy_factor_ = 1.7; // of the learnt run time
    std::int64_t copy_min_micros_ = 600'000;

    // Fillers beside tasks with a latency bound
    std::int64_t pace_step_micros_ = 1'000'000; // between raises

    // Parts of gangs over several shards: for room and tickets. Longer than the
    // shard of the gang waits for all parts.
    std::int64_t part_gather_micros_ = 15'000'000;
    // A part is ready while its tickets are valid for longer: its shard
    // compares this with what the other parts tell, and the order to start
    // takes its way.
    std::int64_t part_ready_micros_ = 700'000;

    // Timed jobs
    std::int64_t early_start_ms_ = 0; // before the due time

    double rack_penalty_ = 2; // run time factor away from the data
};

} // namespace fescuevane::plan

#endif

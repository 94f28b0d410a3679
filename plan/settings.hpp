// Purpose: settings of a planner.
#ifndef FESCUEVANE_PLAN_SETTINGS_HPP
#define FESCUEVANE_PLAN_SETTINGS_HPP

#include "plan/admission_level.hpp"
#include "plan/run_time_model.hpp"

#include <cstddef>
#include <cstdint>

namespace fescuevane::plan
{

// Settings hold intervals; tables store deadlines.
struct settings
{
    std::uint32_t run_base_ = 0; // this owner's run numbers are higher

    // Advice
    // Limits of requests in flight. Requests with a long reply time have a
    // limit of their own, so that they don't delay those for urgent work.
    std::uint32_t max_short_requests_ = 8;
    std::uint32_t max_long_requests_ = 4; // initial and minimum
    double        advice_long_ms_ = 150;  // reply time of a long request
    std::uint32_t advice_targets_ = 30;   // named in one request
    std::int64_t  advice_retry_micros_ = 200'000; // after a failed request
    // Wait of a stage for a request until it has a turn. Covers the objective
    // of most jobs, so that a turn rarely precedes work that is still on time.
    std::int64_t  advice_turn_micros_ = 3'000'000;
    std::uint32_t advice_turn_divisor_ = 4;        // of the requests in flight
    std::int64_t  advice_margin_micros_ = 150'000; // unused before expiry

    // Targets that fail, stall or refuse
    std::uint32_t probation_failures_ = 2; // different jobs, without a success
    std::int64_t  probation_micros_ = 4'000'000;
    std::int64_t  refusal_pause_micros_ = 150'000;
    std::int64_t  stall_micros_ = 2'500'000; // time without progress of a run
    // Upper bound by which late spans of the process delay the detection of a
    // stall.
    std::int64_t max_stall_delay_micros_ = 10'000'000;
    // A request to a target is answered or times out within this time, so
    // reports that are read this long after a late span were sent after it.
    std::int64_t report_micros_ = 2'000'000;

    // Speculative copies of slow tasks
    double       copy_factor_ = 1.7; // multiple of the expected run time
    std::int64_t copy_min_micros_ = 600'000;

    // Fillers beside latency-bound tasks
    std::int64_t pace_step_micros_ = 1'000'000; // between increases

    // Parts of gangs over several shards: time to obtain room and tickets.
    // Longer than the time that the shard of the gang waits for all parts.
    std::int64_t part_gather_micros_ = 15'000'000;
    // A part is ready while its tickets are valid for longer than this: the
    // shard of the gang has to compare the reports of all parts, and the order
    // to start takes time to arrive.
    std::int64_t part_ready_micros_ = 700'000;

    // Timed jobs
    std::int64_t early_start_ms_ = 0; // ahead of the due time

    // New jobs
    admission_level admission_ = admission_level::off;
    std::int64_t    forecast_micros_ = 100'000; // validity of a forecast
    // Resolution of the time to come back that callers can be told.
    std::int64_t return_step_micros_ = 1'000'000;
    // After the promised time: clients add a pause of their own.
    std::int64_t return_window_micros_ = 2'000'000;
    // Later times aren't promised: forecasts don't reach that far.
    std::int64_t max_return_micros_ = 30'000'000;
    std::size_t  max_promises_ = 2'000;

    run_time_model run_time_model_ = run_time_model::local;

    double rack_penalty_ = 2; // factor of run time away from the data
};

} // namespace fescuevane::plan

#endif

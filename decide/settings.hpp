// Purpose: settings of a scheduler.
#ifndef FESCUEVANE_DECIDE_SETTINGS_HPP
#define FESCUEVANE_DECIDE_SETTINGS_HPP

#include <cstdint>

namespace fescuevane::decide
{

// Bounds are per shard. Intervals stand here only; tables store deadlines.
struct settings
{
    // Queues
    std::uint32_t team_queue_tasks_ = 2000;   // queued tasks of one team
    std::uint32_t total_queue_tasks_ = 10000; // queued tasks of all teams

    // Ticks
    std::uint32_t tick_starts_ = 256; // more wait for the next tick
    std::uint32_t tick_timers_ = 256; // same, of timers that are due

    // Retries
    std::uint32_t retry_percent_ = 10;          // of fresh starts
    std::uint32_t max_attempts_ = 4;            // of one task
    std::int64_t  retry_delay_micros_ = 50'000; // first; doubles, jittered
    std::int64_t  retry_delay_max_micros_ = 10'000'000;
    std::uint32_t retry_floor_a_second_ = 10; // allowed without fresh starts
    std::int64_t  retry_after_micros_ = 1'000'000; // told with a refusal

    // Jobs that can never run
    std::int64_t infeasible_hold_micros_ = 2'000'000; // targets may still join

    // Shares
    std::int64_t share_half_life_micros_ = 30'000'000; // decay of past usage
    std::int64_t reclaim_grace_micros_ = 2'000'000; // throttle to checkpoint,
                                                    // checkpoint to stop

    // Gangs
    std::int64_t gang_age_micros_ = 5'000'000;      // then it may reserve
    std::int64_t gang_reserve_micros_ = 10'000'000; // reservation's lifetime

    // Estimates
    std::uint32_t usage_margin_percent_ = 15;     // above the learnt quantile
    std::uint32_t reservation_fall_percent_ = 10; // of the excess, a report

    // Probation
    std::uint32_t probation_failures_ = 5; // in a row, of different jobs
    std::int64_t  probation_micros_ = 30'000'000;
    std::uint32_t probation_max_percent_ = 20; // of the targets, at once

    // Answers
    std::int64_t result_keep_micros_ = 120'000'000; // for repeated submissions

    // Return of a failure domain
    std::uint32_t ramp_percent_a_second_ = 20; // of capacity put to use

    std::uint64_t seed_ = 1; // of jitter and tie breaks
};

} // namespace fescuevane::decide

#endif

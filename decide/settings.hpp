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

    // Retries
    std::uint32_t retry_percent_ = 10;          // of fresh starts
    std::uint32_t max_attempts_ = 4;            // of one task
    std::int64_t  retry_delay_micros_ = 50'000; // first; doubles, jittered

    // Shares
    std::int64_t share_half_life_micros_ = 30'000'000; // decay of past usage
    std::int64_t reclaim_grace_micros_ = 2'000'000; // throttle to checkpoint,
                                                    // checkpoint to stop

    // Gangs
    std::int64_t gang_age_micros_ = 5'000'000;      // then it may reserve
    std::int64_t gang_reserve_micros_ = 10'000'000; // reservation's lifetime

    // Probation
    std::uint32_t probation_failures_ = 5; // in a row, of different jobs
    std::int64_t  probation_micros_ = 30'000'000;

    // Answers
    std::int64_t result_keep_micros_ = 120'000'000; // for repeated submissions

    // Return of a failure domain
    std::uint32_t ramp_percent_a_second_ = 20; // of capacity put to use

    std::uint64_t seed_ = 1; // of jitter and tie breaks
};

} // namespace fescuevane::decide

#endif

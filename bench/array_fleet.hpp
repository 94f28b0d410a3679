// Purpose: the baseline: first-fit or best-fit over plain arrays, in the order
// of submission.
#ifndef FESCUEVANE_BENCH_ARRAY_FLEET_HPP
#define FESCUEVANE_BENCH_ARRAY_FLEET_HPP

#include "bench/tick_sample.hpp"
#include "bench/workload.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fescuevane::bench
{

// Free room of the targets, one row each.
struct room_table
{
    std::vector<resources>    free_;
    std::vector<std::int64_t> free_slots_;
};

// Chooses a row for a task, none when no row has room.
using fit_strategy = std::optional<std::size_t> (*)(room_table const& room,
                                                    resources const&  demand);

std::optional<std::size_t> find_first_fit(room_table const& room,
                                          resources const&  demand);
std::optional<std::size_t> find_best_fit(room_table const& room,
                                         resources const&  demand);

class array_fleet
{
public:
    array_fleet(fleet_size const& size, fit_strategy fit);

    void        advance(std::int64_t micros) { now_ = now_.after(micros); }
    void        submit(job_spec const& spec) { queue_.push_back(spec); }
    tick_sample tick(); // counts the time of ends and placements

    resources                   used() const { return used_; }
    std::uint64_t               queued_tasks() const;
    std::vector<job_key> const& started() const
    {
        return started_;
    } // last tick

private:
    struct ending
    {
        std::size_t row_;
        resources   demand_;
    };

    bool place(job_spec const& spec); // all tasks or none
    void end_due();

    fit_strategy const             fit_;
    room_table                     room_;
    std::deque<job_spec>           queue_;
    std::multimap<instant, ending> ends_;
    resources                      used_;
    std::int64_t                   all_free_slots_ = 0;
    std::vector<job_key>           started_; // in the last tick
    instant                        now_ = instant(micros_per_second);
};

} // namespace fescuevane::bench

#endif

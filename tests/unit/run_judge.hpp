// Purpose: checks the runs that targets of tests have begun and ended.
#ifndef FESCUEVANE_TESTS_UNIT_RUN_JUDGE_HPP
#define FESCUEVANE_TESTS_UNIT_RUN_JUDGE_HPP

#include "core/ids.hpp"
#include "core/run_end.hpp"
#include "core/run_key.hpp"
#include "core/stage_key.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// History of tasks, by their original names. An end counts from the time at
// which it happened if an owner lets the target discard it before the target's
// lease lapses.
struct run_judge
{
    struct run_observation
    {
        run_key       run_;
        target_id     target_;
        bool          began_ = false;
        run_end       end_ = run_end::done;
        std::uint64_t number_ = 0; // of the end, 0 when no longer reported
        bool          acknowledged_ = false;
        std::int64_t  unix_ms_ = 0;
    };

    using task = std::pair<stage_key, std::uint32_t>;

    std::map<task, std::vector<run_observation>> tasks_;

    static task task_of(run_key const& run) { return {run.stage_, run.index_}; }

    void note_start(run_key const& run, target_id const& target,
                    std::int64_t unix_ms)
    {
        tasks_[task_of(run)].push_back({.run_ = run,
                                        .target_ = target,
                                        .began_ = true,
                                        .unix_ms_ = unix_ms});
    }

    void note_end(run_key const& run, target_id const& target, run_end end,
                  std::uint64_t number, std::int64_t unix_ms)
    {
        tasks_[task_of(run)].push_back({.run_ = run,
                                        .target_ = target,
                                        .end_ = end,
                                        .number_ = number,
                                        .unix_ms_ = unix_ms});
    }

    void note_forgotten(target_id const& target, std::uint64_t number)
    {
        for (auto& [task, list] : tasks_)
        {
            for (run_observation& entry : list)
            {
                entry.acknowledged_ =
                    entry.acknowledged_ ||
                    (entry.target_ == target && entry.number_ != 0 &&
                     entry.number_ <= number);
            }
        }
    }

    // The lease of the target has lapsed, or its incarnation is over: ends that
    // no owner has stored don't count any more.
    void note_lapse(target_id const& target)
    {
        for (auto& [task, list] : tasks_)
        {
            for (run_observation& entry : list)
            {
                if (entry.target_ == target)
                {
                    entry.number_ = 0;
                }
            }
        }
    }

    // Describes the first start after a successful end or after the last
    // allowed failure; empty when there is none.
    std::string find_excess_start(int attempts) const
    {
        for (auto const& [task, list] : tasks_)
        {
            bool done = false;
            int  failed = 0;
            for (run_observation const& entry : list)
            {
                if (entry.began_ && (done || failed >= attempts))
                {
                    return describe(entry) +
                           (done ? " started after a successful end"
                                 : " started after the last allowed failure");
                }
                done = done || (!entry.began_ && entry.acknowledged_ &&
                                entry.end_ == run_end::done);
                failed += !entry.began_ && entry.acknowledged_ &&
                                  entry.end_ == run_end::failed
                              ? 1
                              : 0;
            }
        }
        return {};
    }

    // True when a run of the task has ended as done, whether the end was stored
    // or not.
    bool is_done(task const& place) const
    {
        auto const list = tasks_.find(place);
        return list != tasks_.end() &&
               std::any_of(list->second.begin(), list->second.end(),
                           [](run_observation const& entry)
                           {
                               return !entry.began_ &&
                                      entry.end_ == run_end::done;
                           });
    }

    // True when some task of the job has failed `attempts` times, whether the
    // ends were stored or not. A failed run of a gang counts for the whole
    // gang.
    bool has_failed(job_id const& job, bool gang, std::size_t attempts) const
    {
        std::map<std::uint32_t, std::set<std::uint32_t>> failed; // runs
        for (auto const& [task, list] : tasks_)
        {
            for (run_observation const& entry : list)
            {
                if (task.first.job_ == job && !entry.began_ &&
                    entry.end_ == run_end::failed)
                {
                    failed[gang ? 0 : task.second].insert(entry.run_.run_);
                }
            }
        }
        return std::any_of(failed.begin(), failed.end(),
                           [attempts](auto const& entry)
                           {
                               return entry.second.size() >= attempts;
                           });
    }

    static std::string describe(run_observation const& entry)
    {
        return entry.run_.stage_.job_.str() + " task " +
               std::to_string(entry.run_.index_) + " run " +
               std::to_string(entry.run_.run_) + " on " + entry.target_.str() +
               " at " + std::to_string(entry.unix_ms_);
    }
};

} // namespace fescuevane::cell

#endif

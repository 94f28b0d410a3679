// Purpose: fixture of tests of steps that may run in some shards only.
#ifndef FESCUEVANE_TESTS_UNIT_CELL_OFFERS_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_CELL_OFFERS_FIXTURE_HPP

#include "cell_cluster_fixture.hpp"

#include "cell/node.hpp"

#include <doctest/doctest.h>
#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescuevane::cell
{

// Eight shards of four targets, served by four hosts. A target has room for
// four tasks.
struct offers_fixture : cell_cluster_fixture
{
    static constexpr int          shards = 8;
    static constexpr int          shard_targets = 4;
    static constexpr std::int64_t run_ms = 500; // duration of tasks that end

    offers_fixture()
    {
        defaults_.targets_per_shard_ = shard_targets;
        executes_stops_ = true;
        set_advice({400, 6, 2000});
        for (char const* const host : {"h-1", "h-2", "h-3", "h-4"})
        {
            add_host(host, 1);
        }
        for (int rack = 0; rack < shards; ++rack)
        {
            for (int index = 0; index < shard_targets; ++index)
            {
                list_target("t-" + std::to_string(rack) + std::to_string(index),
                            "r-" + std::to_string(rack));
            }
        }
        run(8 * micros_per_second);
        REQUIRE(list_all_served().size() == shards);
    }

    std::set<std::string> list_all_served()
    {
        std::set<std::string> served;
        for (auto const& [name, address] : addresses_)
        {
            served.merge(list_served(name));
        }
        return served;
    }

    // Targets of a shard, in the order of their names.
    std::vector<target_id> list_targets(std::uint32_t shard)
    {
        std::vector<target_id> found;
        for (listed_target const& target : targets_)
        {
            if (shard_of(*find("h-1").node_, target) ==
                shard_id{domain_id("east"), shard})
            {
                found.push_back(target.id_);
            }
        }
        return found;
    }

    // Makes the policy service allow a job some targets of each shard.
    void allow(std::string const& job, std::vector<std::size_t> const& targets)
    {
        std::set<target_id>& allowed = allowed_[job_id(job)];
        for (std::uint32_t shard = 0; shard < targets.size(); ++shard)
        {
            std::vector<target_id> const all = list_targets(shard);
            for (std::size_t index = 0; index < targets[shard]; ++index)
            {
                allowed.insert(all.at(index));
            }
        }
    }

    static step_spec make_step(std::uint32_t count, bool gang)
    {
        return {.count_ = count,
                .demand_ = {1000, 512, 0},
                .estimate_ms_ = run_ms,
                .gang_ = gang};
    }

    // Long-running tasks that fill one target each.
    void submit_long_running(std::string const& id, std::uint32_t count)
    {
        lasting_.insert(job_id(id));
        submit("h-1", id,
               {{.count_ = count,
                 .demand_ = {4000, 512, 0},
                 .estimate_ms_ = run_ms,
                 .perpetual_ = true}});
    }

    // Advances the time; tasks end after `run_ms`.
    void run_work(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            end_runs(run_ms);
        }
    }

    // The same for runs that take `age_ms` and report their progress.
    void run_long_work(std::int64_t micros, std::int64_t age_ms)
    {
        constexpr std::int64_t step = 100'000;
        constexpr std::int64_t percent = 100;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            end_runs(age_ms);
            for (auto& [target, runs] : running_)
            {
                std::vector<reported_run> reported;
                for (reported_run const& run : runs)
                {
                    std::int64_t const ran_ms =
                        unix_ms_ - started_.at(run.run_);
                    reported.push_back(
                        {run.run_, "",
                         static_cast<std::int32_t>(ran_ms * percent / age_ms),
                         0});
                }
                runs.swap(reported);
            }
        }
    }

    std::size_t count_started(std::string const& job) const
    {
        std::set<std::uint32_t> started;
        for (auto const& [run, count] : starts_)
        {
            if (run.stage_.job_ == job_id(job))
            {
                started.insert(run.index_);
            }
        }
        return started.size();
    }

    int count_starts(std::string const& job) const
    {
        int starts = 0;
        for (auto const& [run, count] : starts_)
        {
            starts += run.stage_.job_ == job_id(job) ? count : 0;
        }
        return starts;
    }

    std::size_t count_running(std::string const& job) const
    {
        std::size_t running = 0;
        for (auto const& [target, runs] : running_)
        {
            running += static_cast<std::size_t>(
                std::count_if(runs.begin(), runs.end(),
                              [&job](reported_run const& run)
                              {
                                  return run.run_.stage_.job_ == job_id(job);
                              }));
        }
        return running;
    }
};

} // namespace fescuevane::cell

#endif

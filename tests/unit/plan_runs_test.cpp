// Purpose: tests of the run table and of the cost of look-ups of runs.
#include "plan_random_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

struct runs_fixture : plan_random_fixture
{
    // Rows for which `matches` holds, in table order.
    template <typename Match>
    static std::vector<std::size_t> recount(run_table const& runs,
                                            Match const&     matches)
    {
        std::vector<std::size_t> rows;
        for (std::size_t row = 0; row < runs.size(); ++row)
        {
            if (matches(row))
            {
                rows.push_back(row);
            }
        }
        return rows;
    }

    static std::vector<std::size_t> to_vector(run_table::rows rows)
    {
        return {rows.begin(), rows.end()};
    }

    static void check_trait(run_table const& runs, run_trait trait)
    {
        RC_ASSERT(to_vector(runs.with(trait)) ==
                  recount(runs,
                          [&](std::size_t row)
                          {
                              auto const traits = list_traits(runs[row]);
                              return std::find(traits.begin(), traits.end(),
                                               trait) != traits.end();
                          }));
    }

    static void check_groups(run_table const& runs)
    {
        for (std::size_t row = 0; row < runs.size(); ++row)
        {
            run_key const& key = runs.key(row);
            run_row const& run = runs[row];
            RC_ASSERT(to_vector(runs.of_job(key.stage_.job_)) ==
                      recount(runs,
                              [&](std::size_t other)
                              {
                                  return runs.key(other).stage_.job_ ==
                                         key.stage_.job_;
                              }));
            RC_ASSERT(to_vector(runs.of_origin(run.origin_)) ==
                      recount(runs,
                              [&](std::size_t other)
                              {
                                  return runs[other].origin_ == run.origin_;
                              }));
            RC_ASSERT(to_vector(runs.on_target(run.target_)) ==
                      recount(runs,
                              [&](std::size_t other)
                              {
                                  return runs[other].target_ == run.target_;
                              }));
        }
        for (run_trait const trait :
             {run_trait::filler, run_trait::latency_bound,
              run_trait::speculative})
        {
            check_trait(runs, trait);
        }
    }
};

// Guards against indexes that don't match the rows after a removal, replacement
// or move of a row.
TEST_CASE_FIXTURE(runs_fixture,
                  "run table, random events, groups equal a recount")
{
    CHECK(rc::check(
        []
        {
            plan_random_fixture fleet;
            std::size_t         most = 0;
            for (auto const& step : generate_steps(120))
            {
                fleet.take_step(step);
                check_groups(fleet.planner_->runs_);
                most = std::max(most, fleet.planner_->runs_.size());
            }
            RC_CLASSIFY(most > 10, "more than ten runs at once");
        }));
}

// Guards against stages that are skipped, or visited for nothing, because the
// number of their waiting tasks is wrong.
TEST_CASE_FIXTURE(runs_fixture,
                  "stages, random events, waiting tasks equal a recount")
{
    CHECK(rc::check(
        []
        {
            plan_random_fixture fleet;
            for (auto const& step : generate_steps(120))
            {
                fleet.take_step(step);
                for (stage_row const& stage : fleet.planner_->stages_)
                {
                    RC_ASSERT(stage.tasks_.waiting() ==
                              std::count_if(stage.tasks_.begin(),
                                            stage.tasks_.end(), is_waiting));
                }
            }
        }));
}

// Guards against open jobs whose estimates are never refreshed, so that they
// keep the rank of their first tick.
TEST_CASE_FIXTURE(runs_fixture,
                  "open jobs, random events, estimates are up to date")
{
    CHECK(rc::check(
        []
        {
            plan_random_fixture fleet;
            for (auto const& step : generate_steps(120))
            {
                fleet.take_step(step);
                for (job_row const& job : fleet.planner_->jobs_)
                {
                    RC_ASSERT(is_final(job.phase_) ||
                              (job.critical_paths_until_ > fleet.now_ &&
                               job.critical_paths_ms_.size() ==
                                   job.spec_->steps_.size()));
                }
            }
        }));
}

// Jobs of two steps with a spread limit in a queue with a policy service: all
// first steps have runs, all second ones have advice requests.
struct run_reads_fixture : plan_fixture
{
    std::uint64_t count_reads(std::uint32_t jobs)
    {
        set_queue(advice_policy{1, 0, 3'600'000});
        for (std::uint32_t target = 0; target < jobs; ++target)
        {
            set_target("t-" + std::to_string(target), {16'000, 65'536, 0});
        }
        for (std::uint32_t job = 0; job < jobs; ++job)
        {
            step_spec first = make_limited_step({});
            step_spec second = make_limited_step({0});
            add_job("j-" + std::to_string(job), {first, second});
        }
        for (std::uint32_t round = 0; round < 4 * jobs; ++round)
        {
            tick();
            confirm_starts();
            for (advice_request const& request : list<advice_request>())
            {
                answer(request);
            }
            advance(1'000);
        }
        REQUIRE(planner_->runs_.size() == 4 * jobs);
        // From here on, no task waits and no event arrives.
        constexpr std::uint32_t ticks = 100;
        std::uint64_t const     before = planner_->runs_.reads();
        for (std::uint32_t round = 0; round < ticks; ++round)
        {
            advance(1'000);
            tick();
            REQUIRE(list<start_run>().empty());
        }
        return planner_->runs_.reads() - before;
    }

    static step_spec make_limited_step(std::vector<std::uint32_t> after)
    {
        return {.count_ = 4,
                .demand_ = {1000, 512, 0},
                .estimate_ms_ = 1000,
                .after_ = std::move(after),
                .spread_limit_ = 2};
    }

    void answer(advice_request const& request)
    {
        std::vector<target_ticket> good;
        for (target_id const& target : request.targets_)
        {
            good.push_back({target, "ticket"});
        }
        post(advice_given{request.stage_, request.targets_, good,
                          now_.after(3'600 * micros_per_second)});
    }
};

// Guards against systems that scan all runs for each job or stage, which delays
// owners with hundreds of open stages by seconds.
TEST_CASE_FIXTURE(run_reads_fixture,
                  "ticks, twice the jobs and runs, read twice the rows")
{
    constexpr std::uint32_t jobs = 20;
    run_reads_fixture       twice;
    std::uint64_t const     reads = count_reads(jobs);
    REQUIRE(reads > 0);
    CHECK(twice.count_reads(2 * jobs) <= reads * 5 / 2);
}

} // namespace
} // namespace fescuevane::plan

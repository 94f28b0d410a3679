// Purpose: fixture for tests of the planner with random events.
#ifndef FESCUEVANE_TESTS_UNIT_PLAN_RANDOM_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_PLAN_RANDOM_FIXTURE_HPP

#include "plan/planner.hpp"
#include "plan_fixture.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::plan
{

// A planner with four targets. Each step posts one event, or lets time pass,
// and runs a tick.
struct plan_random_fixture : plan_fixture
{
    using step = std::pair<std::uint8_t, std::uint32_t>; // action, its choice

    std::uint32_t          next_job_ = 0;
    std::vector<start_run> started_; // runs that may be confirmed or ended

    plan_random_fixture()
    {
        for (std::uint32_t target = 0; target < 4; ++target)
        {
            set_target(name_target(target));
        }
        tick();
    }

    static std::string name_target(std::uint32_t number)
    {
        return "t-" + std::to_string(number % 4);
    }

    // Generates at full size from the first run on, since small sizes reach
    // only the first actions.
    static std::vector<step> generate_steps(std::size_t count)
    {
        auto const one =
            rc::gen::resize(rc::kNominalSize,
                            rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, 12),
                                          rc::gen::inRange(0U, 1'000'000U)));
        return *rc::gen::container<std::vector<step>>(count, one);
    }

    static step_spec make_random_step(std::uint32_t choice, std::uint32_t step)
    {
        std::uint32_t const kind = choice % 5;
        return {.count_ = 2 + choice % 3,
                .demand_ = {500, 256, 0},
                .estimate_ms_ = 1000,
                .after_ = step == 0 ? std::vector<std::uint32_t>()
                                    : std::vector<std::uint32_t>{step - 1},
                .gang_ = kind == 1,
                .speculative_ = kind == 2,
                .perpetual_ = kind == 3,
                .filler_ = kind == 4,
                .spread_limit_ = choice % 7 == 0 ? 1U : 0U,
                .latency_target_ms_ = kind == 3 ? 100 : 0};
    }

    void post_job(std::uint32_t choice)
    {
        std::vector<step_spec> steps;
        for (std::uint32_t step = 0; step < 1 + choice % 3; ++step)
        {
            steps.push_back(make_random_step(choice / 3 + step, step));
        }
        add_job("j-" + std::to_string(next_job_++), std::move(steps));
    }

    job_id pick_job(std::uint32_t choice) const
    {
        return job_id("j-" + std::to_string(choice % std::max(1U, next_job_)));
    }

    void post_end(std::uint32_t choice)
    {
        static constexpr std::array ends = {run_end::done, run_end::done,
                                            run_end::failed, run_end::lost};
        if (!started_.empty())
        {
            start_run const& run = started_[choice % started_.size()];
            end(run, ends.at(choice / 7 % ends.size()));
        }
    }

    void post_refusal(std::uint32_t choice)
    {
        if (!started_.empty())
        {
            start_run const& run = started_[choice % started_.size()];
            post(run_refused{run.run_, run.target_, refusal::room});
        }
    }

    // Some of these runs are unknown, or were started on another target.
    void post_report(std::uint32_t choice)
    {
        post(run_seen{.run_ = {{pick_job(choice), 0, choice / 3 % 3},
                               choice / 5 % 3,
                               choice % 4},
                      .target_ = target_id(name_target(choice / 11)),
                      .percent_ = 5,
                      .load_ = static_cast<std::int64_t>(choice % 200)});
    }

    void take_step(step const& value)
    {
        auto const [action, choice] = value;
        switch (action)
        {
        case 0:
        case 1:
        case 2:
            post_job(choice);
            break;
        case 3:
        case 4:
        case 5:
            post_end(choice);
            break;
        case 6:
            post_refusal(choice);
            break;
        case 7:
            post_report(choice);
            break;
        case 8:
            post(job_canceled{pick_job(choice)});
            break;
        case 9:
            post(job_dropped{pick_job(choice)});
            break;
        case 10:
            post(target_removed{target_id(name_target(choice))});
            break;
        default:
            set_target(name_target(choice));
            break;
        }
        advance(static_cast<std::int64_t>(choice) % 700'000);
        tick();
        for (start_run const& start : list<start_run>())
        {
            started_.emplace_back(start);
        }
        confirm_starts();
    }
};

} // namespace fescuevane::plan

#endif

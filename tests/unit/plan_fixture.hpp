// Purpose: fixture for tests of the planner of staged jobs.
#ifndef FESCUEVANE_TESTS_UNIT_PLAN_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_PLAN_FIXTURE_HPP

#include "core/staged_job.hpp"
#include "plan/overflow.hpp"
#include "plan/plan.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::plan
{

// One planner, its clock and the commands of its last tick.
struct plan_fixture
{
    planner_ptr          planner_;
    instant              now_ = instant(micros_per_second);
    std::int64_t         unix_ms_ = 1'000'000;
    std::vector<command> commands_;

    explicit plan_fixture(settings const& values = {})
        : planner_(make_planner(values))
    {
        set_queue({});
    }

    void post(event input) { post_event(*planner_, std::move(input)); }

    void tick()
    {
        commands_.clear();
        run_tick(*planner_, now_, unix_ms_, commands_);
    }

    void advance(std::int64_t micros)
    {
        now_ = now_.after(micros);
        unix_ms_ += micros / micros_per_milli;
    }

    void set_queue(std::optional<advice_policy> advice,
                   std::uint32_t                attempts = 3)
    {
        post(queues_set{{{.id_ = queue_id("orders"),
                          .service_ = service_id("desk"),
                          .max_attempts_ = attempts,
                          .slack_factor_ = 1.5,
                          .objective_ms_ = 250,
                          .advice_ = advice}}});
    }

    void set_target(std::string const& name,
                    resources const&   capacity = {4000, 8192, 0},
                    target_phase       phase = target_phase::usable)
    {
        post(target_set{.id_ = target_id(name),
                        .service_ = service_id("desk"),
                        .rack_ = rack_id("rack-1"),
                        .labels_ = {"a", "rack-1"},
                        .capacity_ = capacity,
                        .phase_ = phase});
    }

    static step_spec make_step(std::uint32_t              count,
                               std::vector<std::uint32_t> after = {})
    {
        return {.count_ = count,
                .demand_ = {1000, 512, 0},
                .estimate_ms_ = 1000,
                .after_ = std::move(after)};
    }

    static std::shared_ptr<staged_job const>
    make_job(std::string const& id, std::vector<step_spec> steps,
             std::uint32_t repeat = 0, std::int64_t due = 0)
    {
        return std::make_shared<staged_job const>(
            staged_job{.id_ = job_id(id),
                       .organisation_ = organisation_id("cafe"),
                       .queue_ = queue_id("orders"),
                       .service_ = service_id("desk"),
                       .payload_ = "work",
                       .steps_ = std::move(steps),
                       .repeat_count_ = repeat,
                       .first_due_unix_ms_ = due,
                       .interval_ms_ = 1000});
    }

    void add_job(std::string const& id, std::vector<step_spec> steps,
                 job_progress const& progress = {}, bool recovered = false)
    {
        post(job_added{.job_ = make_job(id, std::move(steps)),
                       .progress_ = progress,
                       .accepted_at_ = now_,
                       .recovered_ = recovered});
    }

    // Commands of one type from the last tick.
    template <typename Command>
    std::vector<Command> list() const
    {
        std::vector<Command> found;
        for (command const& order : commands_)
        {
            if (auto const* const match = std::get_if<Command>(&order))
            {
                found.push_back(*match);
            }
        }
        return found;
    }

    void confirm_starts()
    {
        for (start_run const& start : list<start_run>())
        {
            post(run_confirmed{start.run_, start.target_});
        }
    }

    void end(start_run const& start, run_end how,
             std::string const& checkpoint = "")
    {
        post(run_ended{start.run_, start.target_, how, checkpoint});
    }
};

} // namespace fescuevane::plan

#endif

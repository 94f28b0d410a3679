// Purpose: fixture of tests of the scheduler.
#ifndef FESCUEVANE_TESTS_UNIT_DECIDE_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_DECIDE_FIXTURE_HPP

#include "decide/decide.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::decide
{

// One scheduler, its clock and the commands of its last tick.
struct decide_fixture
{
    settings const       settings_;
    scheduler_ptr        scheduler_ = make_scheduler(settings_);
    instant              now_ = instant(micros_per_second);
    std::vector<command> commands_;

    // A team without a policy gets no starts, so the usual ones have one.
    explicit decide_fixture(settings const& values = {}) : settings_(values)
    {
        set_policy(true);
    }

    void set_policy(bool domain_in_service)
    {
        post(policy_set{
            {{.team_ = team_id("team-1")}, {.team_ = team_id("team-2")}},
            domain_in_service});
    }

    void post(event input) { post_event(*scheduler_, std::move(input)); }

    void tick()
    {
        commands_.clear();
        run_tick(*scheduler_, now_, commands_);
    }

    void advance(std::int64_t micros) { now_ = now_.after(micros); }

    void join_target(std::string const& name,
                     resources const&   capacity = {4000, 8192, 0},
                     std::uint32_t      slots = 8)
    {
        post(
            target_joined{target_id(name), rack_id("rack-1"), capacity, slots});
    }

    static job_spec make_request(std::string const& id,
                                 resources const&   demand = {1000, 512, 0})
    {
        return {.key_ = {team_id("team-1"), job_id(id)},
                .service_ = service_id("orders"),
                .demand_ = demand};
    }

    static job_spec make_request_until(std::string const& id, instant deadline)
    {
        return {.key_ = {team_id("team-1"), job_id(id)},
                .service_ = service_id("orders"),
                .demand_ = {1000, 512, 0},
                .start_deadline_ = deadline};
    }

    // A request that may start only once.
    static job_spec make_once(std::string const& id)
    {
        return {.key_ = {team_id("team-1"), job_id(id)},
                .service_ = service_id("orders"),
                .demand_ = {1000, 512, 0},
                .idempotent_ = false};
    }

    static job_spec make_job(std::string const& id, work_kind kind,
                             std::uint32_t      tasks,
                             std::string const& team = "team-1")
    {
        return {.key_ = {team_id(team), job_id(id)},
                .service_ = service_id(id),
                .kind_ = kind,
                .task_count_ = tasks,
                .demand_ = {1000, 512, 0}};
    }

    // Submits a job and returns the first start of the tick.
    start_task submit_and_start(job_spec const& spec)
    {
        post(job_submitted{spec});
        tick();
        return list<start_task>().at(0);
    }

    // The same with a new target to start it on.
    start_task start_one(job_spec const& spec)
    {
        join_target("target-1");
        return submit_and_start(spec);
    }

    void end(start_task const& start, outcome result)
    {
        post(task_ended{.task_ = start.task_,
                        .target_ = start.target_,
                        .outcome_ = result});
        tick();
    }

    job_result last_result() const
    {
        return list<job_changed>().back().result_;
    }

    // Commands of one kind, in order.
    template <typename Command>
    std::vector<Command> list() const
    {
        std::vector<Command> found;
        for (command const& each : commands_)
        {
            if (auto const* value = std::get_if<Command>(&each))
            {
                found.push_back(*value);
            }
        }
        return found;
    }
};

// Queues of a few tasks.
struct bounded_fixture : decide_fixture
{
    bounded_fixture()
        : decide_fixture(
              settings{.team_queue_tasks_ = 6, .total_queue_tasks_ = 6})
    {
    }
};

} // namespace fescuevane::decide

#endif

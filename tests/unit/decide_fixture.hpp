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
    settings             settings_;
    scheduler_ptr        scheduler_ = make_scheduler(settings_);
    instant              now_ = instant(micros_per_second);
    std::vector<command> commands_;

    // A team without a policy gets no starts, so the usual ones have one.
    decide_fixture() { set_policy(true); }

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

} // namespace fescuevane::decide

#endif

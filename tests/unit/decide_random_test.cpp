// Purpose: invariants of the scheduler under random events.
#include "tests/unit/decide_fleet_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace fescuevane::decide
{
namespace
{

struct random_fixture
{
    // Full size from the first run on: small picks reach only the first
    // actions.
    static std::vector<fleet_step> generate_steps(std::size_t count)
    {
        auto const step = rc::gen::resize(
            rc::kNominalSize,
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, 255),
                          rc::gen::inRange(0U, 1'000'000U)));
        return *rc::gen::container<std::vector<fleet_step>>(count, step);
    }

    static void run_steps(fleet_model&                   fleet,
                          std::vector<fleet_step> const& steps)
    {
        for (fleet_step const& step : steps)
        {
            fleet.take_step(step);
        }
        fleet.wind_down();
    }

    static bool check_steps(std::size_t count)
    {
        return rc::check(
            [count]
            {
                fleet_model fleet;
                run_steps(fleet, generate_steps(count));
                RC_CLASSIFY(fleet.count_starts() > count / 10,
                            "more than one start in ten steps");
            });
    }
};

// Guards against overcommit, double runs, split gangs, a second start of
// non-idempotent work, two final states, and jobs or amounts that leak.
TEST_CASE_FIXTURE(random_fixture,
                  "scheduler, short random events, keeps its invariants")
{
    CHECK(check_steps(30));
}

TEST_CASE_FIXTURE(random_fixture,
                  "scheduler, long random events, keeps its invariants")
{
    CHECK(check_steps(400));
}

// Guards against decisions that depend on addresses or on hash order.
TEST_CASE_FIXTURE(random_fixture,
                  "scheduler, same events twice, gives the same commands")
{
    CHECK(rc::check(
        []
        {
            auto const  steps = generate_steps(200);
            fleet_model first;
            fleet_model second;
            run_steps(first, steps);
            run_steps(second, steps);
            RC_ASSERT(first.history() == second.history());
        }));
}

} // namespace
} // namespace fescuevane::decide

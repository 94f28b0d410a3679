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
    static bool check_steps(std::size_t count)
    {
        return rc::check(
            [count]
            {
                // Full size from the first run on: small picks reach only the
                // first actions.
                auto const step = rc::gen::resize(
                    rc::kNominalSize,
                    rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, 255),
                                  rc::gen::inRange(0U, 1'000'000U)));
                auto const steps =
                    *rc::gen::container<std::vector<fleet_step>>(count, step);
                fleet_model fleet;
                for (fleet_step const& step : steps)
                {
                    fleet.take_step(step);
                }
                fleet.wind_down();
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

} // namespace
} // namespace fescuevane::decide

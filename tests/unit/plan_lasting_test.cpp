// Purpose: tests of tasks that last.
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

struct lasting_fixture : plan_fixture
{
    static step_spec make_lasting()
    {
        step_spec const step = make_step(1);
        return {.count_ = step.count_,
                .demand_ = step.demand_,
                .estimate_ms_ = step.estimate_ms_,
                .perpetual_ = true};
    }

    lasting_fixture() { set_target("t-1"); }
};

// Guards against a lasting task that is down for a reason that no log tells.
TEST_CASE_FIXTURE(lasting_fixture, "lasting run, ends, noted with its end")
{
    add_job("j-1", {make_lasting()});
    tick();
    confirm_starts();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 1);
    end(starts[0], run_end::lapsed);
    tick();
    auto const notes = list<note>();
    REQUIRE(!notes.empty());
    CHECK(notes[0].what_ == "lasting_run_ended");
    CHECK(notes[0].run_ == starts[0].run_);
    CHECK(notes[0].why_ == "lapsed");
}

} // namespace
} // namespace fescuevane::plan

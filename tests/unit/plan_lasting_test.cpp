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

// Guards against a lasting task that stays down after a change of owner: one
// target that nobody reached held it until its ends were given up, 13.5 s on
// one hunted day.
TEST_CASE_FIXTURE(lasting_fixture,
                  "jobs taken over, unreached target lapsed, lasting one runs")
{
    add_job("j-1", {make_step(1)}, {}, true);
    add_job("j-2", {make_lasting()}, {}, true);
    set_target("t-2", {4000, 8192, 0}, target_phase::attaching);
    tick();
    CHECK(list<start_run>().empty());
    set_target("t-2", {4000, 8192, 0}, target_phase::lapsed);
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run_.stage_.job_ == job_id("j-2"));
}

// Guards against a task that is sent again and again to a target that loses
// orders while others would take it.
TEST_CASE_FIXTURE(lasting_fixture,
                  "run lost by its target, others have room, starts elsewhere")
{
    set_target("t-2");
    add_job("j-1", {make_lasting()});
    tick();
    auto const first = list<start_run>();
    REQUIRE(first.size() == 1);
    end(first[0], run_end::lost);
    tick();
    auto const second = list<start_run>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].target_ != first[0].target_);
}

} // namespace
} // namespace fescuevane::plan

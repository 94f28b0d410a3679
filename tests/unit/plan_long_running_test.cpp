// Purpose: tests of long-running tasks.
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

struct long_running_fixture : plan_fixture
{
    static step_spec make_long_running_step()
    {
        step_spec const step = make_step(1);
        return {.count_ = step.count_,
                .demand_ = step.demand_,
                .estimate_ms_ = step.estimate_ms_,
                .perpetual_ = true};
    }

    long_running_fixture() { set_target("t-1"); }
};

// Guards against a long-running task that ends without a log entry for the
// cause.
TEST_CASE_FIXTURE(long_running_fixture,
                  "long-running run, ends, logged with its end")
{
    add_job("j-1", {make_long_running_step()});
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

// Guards against a long-running task that isn't restarted after a change of
// owner: one unreached target blocked it until its unreported ends were given
// up, for 13.5 s when it was observed.
TEST_CASE_FIXTURE(
    long_running_fixture,
    "jobs taken over, unreached target lapsed, long-running one starts")
{
    add_job("j-1", {make_step(1)}, {}, true);
    add_job("j-2", {make_long_running_step()}, {}, true);
    set_target("t-2", {4000, 8192, 0}, target_phase::attaching);
    tick();
    CHECK(list<start_run>().empty());
    set_target("t-2", {4000, 8192, 0}, target_phase::lapsed);
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run_.stage_.job_ == job_id("j-2"));
}

// Guards against a task that is sent repeatedly to a target that loses start
// orders while other targets have room.
TEST_CASE_FIXTURE(long_running_fixture,
                  "run lost by its target, others have room, starts elsewhere")
{
    set_target("t-2");
    add_job("j-1", {make_long_running_step()});
    tick();
    auto const first = list<start_run>();
    REQUIRE(first.size() == 1);
    end(first[0], run_end::lost);
    tick();
    auto const second = list<start_run>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].target_ != first[0].target_);
}

// Guards against tasks that are delegated from shard to shard: targets that
// were briefly unreachable counted as targets that can never run them.
TEST_CASE_FIXTURE(long_running_fixture,
                  "targets out of reach, task waits, isn't reported as blocked")
{
    target_phase away = target_phase::silent;
    bool         blocked = false;
    SUBCASE("silent") {}
    SUBCASE("not reached yet")
    {
        away = target_phase::attaching;
    }
    SUBCASE("leaving")
    {
        away = target_phase::draining;
        blocked = true;
    }
    set_target("t-1", {4000, 8192, 0}, away);
    add_job("j-1", {make_step(1)});
    tick();
    advance(micros_per_second);
    tick();
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].blocked_ == blocked);
}

// Guards against a long-running task that isn't restarted for 10 s or more
// while its organisation's limit is reserved for a gang.
TEST_CASE_FIXTURE(
    long_running_fixture,
    "room kept for a claim elsewhere, long-running run ends, runs again")
{
    post(organisations_set{{{.id_ = organisation_id("cafe"),
                             .weight_ = 100,
                             .limit_ = {2000, 4096, 0}}}});
    add_job("j-1", {make_long_running_step()});
    tick();
    confirm_starts();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 1);
    post(limit_claims_updated{{{.organisation_ = organisation_id("cafe"),
                                .limit_ = {4000, 8192, 0},
                                .withheld_ = {2000, 4096, 0}}}});
    add_job("j-2", {make_step(1)});
    end(starts[0], run_end::failed);
    tick();
    auto const again = list<start_run>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run_.stage_.job_ == job_id("j-1"));
}

} // namespace
} // namespace fescuevane::plan

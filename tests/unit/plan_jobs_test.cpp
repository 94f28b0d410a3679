// Purpose: tests of jobs, steps and ends of runs.
#include "core/job_progress.hpp"
#include "plan/load_summary.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

// Guards against a step that starts before its predecessors have ended.
TEST_CASE_FIXTURE(plan_fixture,
                  "second step, tasks of the first one run, not started")
{
    set_target("t-1");
    add_job("j-1", {make_step(2), make_step(1, {0})});
    tick();
    auto const first = list<start_run>();
    REQUIRE(first.size() == 2);
    end(first[0], run_end::done);
    tick();
    CHECK(list<start_run>().empty());
    end(first[1], run_end::done);
    tick();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.stage_.step_ == 1);
}

// Guards against a job that is reported as completed while a task is open.
TEST_CASE_FIXTURE(plan_fixture, "job, last task ends as done, completed")
{
    set_target("t-1");
    add_job("j-1", {make_step(1)});
    tick();
    auto const start = list<start_run>();
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::running);
    end(start[0], run_end::done);
    tick();
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
    CHECK(list<job_changed>().size() >= 1);
}

// Guards against more attempts than the queue allows after a change of owner:
// the failures of a gang were lost when its tasks had checkpoints.
TEST_CASE_FIXTURE(plan_fixture,
                  "gang with checkpoints, read anew, failures still count")
{
    step_spec const gang{.count_ = 2,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .checkpointing_ = true,
                         .gang_ = true};
    set_queue({}, 3);
    set_target("t-1");
    add_job("j-1", {gang},
            {.phase_ = job_phase::running,
             .tasks_ = {{.index_ = 0,
                         .last_run_ = 2,
                         .failed_runs_ = {1, 2},
                         .checkpoint_ = "c"},
                        {.index_ = 1, .last_run_ = 2, .checkpoint_ = "c"}}},
            true);
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 2);
    end(starts[0], run_end::failed);
    end(starts[1], run_end::broken);
    tick();
    CHECK(list<start_run>().empty());
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::failed);
}

// Guards against a gang whose tasks resume from different checkpoints: its
// targets reported them at different times, and none of them reports an end.
TEST_CASE_FIXTURE(plan_fixture,
                  "gang, targets go away, tasks resume from one checkpoint")
{
    set_target("t-1", {1000, 8192, 0});
    set_target("t-2", {1000, 8192, 0});
    add_job("j-1", {{.count_ = 2,
                     .demand_ = {1000, 512, 0},
                     .estimate_ms_ = 1000,
                     .checkpointing_ = true,
                     .gang_ = true}});
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 2);
    post(run_seen{starts[0].run_, starts[0].target_, "c-1", 20, 0});
    tick();
    post(run_seen{starts[1].run_, starts[1].target_, "c-2", 40, 0});
    tick();
    post(target_removed{starts[0].target_});
    post(target_removed{starts[1].target_});
    set_target("t-3");
    tick();
    auto const again = list<start_run>();
    REQUIRE(again.size() == 2);
    CHECK(again[0].checkpoint_ == again[1].checkpoint_);
    CHECK(again[0].checkpoint_ == "c-2");
}

// The same after a change of owner, when the checkpoint of only one task was
// stored.
TEST_CASE_FIXTURE(plan_fixture,
                  "gang, checkpoint of one task stored, all resume from it")
{
    set_target("t-1");
    add_job("j-1",
            {{.count_ = 2,
              .demand_ = {1000, 512, 0},
              .estimate_ms_ = 1000,
              .checkpointing_ = true,
              .gang_ = true}},
            {.phase_ = job_phase::running,
             .tasks_ = {{.index_ = 1, .last_run_ = 2, .checkpoint_ = "c"}}},
            true);
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].checkpoint_ == "c");
    CHECK(starts[1].checkpoint_ == "c");
}

// Guards against more attempts than the queue allows.
TEST_CASE_FIXTURE(plan_fixture, "task, all attempts fail, job failed")
{
    set_queue({}, 2);
    set_target("t-1");
    set_target("t-2");
    add_job("j-1", {make_step(1)});
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        tick();
        REQUIRE(list<start_run>().size() == 1);
        end(list<start_run>()[0], run_end::failed);
    }
    tick();
    CHECK(list<start_run>().empty());
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::failed);
}

// Guards against a failure that is counted twice: its target reports it again
// to a new owner, which has read it from the store already.
TEST_CASE_FIXTURE(plan_fixture,
                  "failed run, reported again after a takeover, counted once")
{
    set_queue({}, 2);
    set_target("t-1");
    job_progress const progress{
        .phase_ = job_phase::running,
        .tasks_ = {{.last_run_ = 1, .failed_runs_ = {1}}}};
    add_job("j-1", {make_step(1)}, progress, true);
    post(run_ended{
        {{job_id("j-1"), 0, 0}, 0, 1}, target_id("t-1"), run_end::failed, ""});
    tick();
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::running);
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.run_ == 2);
}

// Guards against duplicate work: a task whose end is stored must not run again
// under a new owner.
TEST_CASE_FIXTURE(plan_fixture, "done task, job taken over, not started")
{
    set_target("t-1");
    job_progress const progress{.phase_ = job_phase::running,
                                .tasks_ = {{.done_ = true, .last_run_ = 1}}};
    add_job("j-1", {make_step(2)}, progress, true);
    tick();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.index_ == 1);
}

// Guards against a second run of work that a target hasn't reported yet.
TEST_CASE_FIXTURE(plan_fixture,
                  "job taken over, a target is not reached yet, waits")
{
    set_target("t-1");
    set_target("t-2", {4000, 8192, 0}, target_phase::attaching);
    add_job("j-1", {make_step(1)}, {}, true);
    tick();
    CHECK(list<start_run>().empty());
    SUBCASE("the target reports the run")
    {
        set_target("t-2");
        post(run_seen{{{job_id("j-1"), 0, 0}, 0, 1}, target_id("t-2"), "", 40});
        tick();
        CHECK(list<start_run>().empty());
        CHECK(has_runs(*planner_, job_id("j-1")));
    }
    SUBCASE("what ran there has lapsed")
    {
        set_target("t-2", {4000, 8192, 0}, target_phase::silent);
        tick();
        CHECK(list<start_run>().size() == 1);
    }
}

// Guards against runs that go on although their job has ended or was never
// submitted.
TEST_CASE_FIXTURE(plan_fixture, "run of an unknown job, reported, stopped")
{
    set_target("t-1");
    post(run_seen{{{job_id("gone"), 0, 0}, 0, 3}, target_id("t-1"), "", 40});
    add_job("j-1", {make_step(1)});
    tick();
    REQUIRE(list<stop_run>().size() == 1);
    CHECK(list<start_run>().empty()); // its demand is unknown
    post(run_ended{{{job_id("gone"), 0, 0}, 0, 3},
                   target_id("t-1"),
                   run_end::stopped,
                   ""});
    tick();
    CHECK(list<start_run>().size() == 1);
}

TEST_CASE_FIXTURE(plan_fixture, "running job, canceled, stopped for good")
{
    set_target("t-1");
    add_job("j-1", {make_step(2), make_step(1, {0})});
    tick();
    confirm_starts();
    post(job_canceled{job_id("j-1")});
    tick();
    CHECK(list<stop_run>().size() == 2);
    advance(micros_per_second);
    tick();
    CHECK(list<start_run>().empty());
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::canceled);
}

// Guards against a long-running task that isn't restarted after a failure.
TEST_CASE_FIXTURE(plan_fixture, "perpetual task, ended any way, started again")
{
    set_target("t-1");
    step_spec const step{
        .count_ = 1, .demand_ = {1000, 512, 0}, .perpetual_ = true};
    add_job("j-1", {step});
    for (run_end const how : {run_end::failed, run_end::done, run_end::lapsed,
                              run_end::failed, run_end::failed})
    {
        tick();
        REQUIRE(list<start_run>().size() == 1);
        end(list<start_run>()[0], how);
        advance(5 * micros_per_second);
    }
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::running);
}

TEST_CASE_FIXTURE(plan_fixture, "stopped task, has a checkpoint, resumes")
{
    set_target("t-1");
    add_job("j-1", {make_step(1)});
    tick();
    end(list<start_run>()[0], run_end::stopped, "c-7");
    tick();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].checkpoint_ == "c-7");
}

// Guards against occurrences that start before they are due.
TEST_CASE_FIXTURE(plan_fixture, "timed job, not due yet, starts when due")
{
    set_target("t-1");
    post(job_added{.job_ = make_job("j-1", {make_step(1)}, 2, unix_ms_ + 500),
                   .accepted_at_ = now_});
    tick();
    CHECK(list<start_run>().empty());
    CHECK(next_deadline(*planner_) <= now_.after(500'000));
    advance(500'000);
    tick();
    CHECK(list<start_run>().size() == 1);
    advance(micros_per_second);
    tick();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.stage_.occurrence_ == 1);
}

// Guards against progress that is lost when the owner changes.
TEST_CASE_FIXTURE(plan_fixture, "progress, written and loaded, the same")
{
    set_target("t-1");
    add_job("j-1", {make_step(3), make_step(1, {0})});
    tick();
    auto const starts = list<start_run>();
    end(starts[0], run_end::done);
    end(starts[1], run_end::failed, "c-1");
    tick();
    job_progress const progress = write_progress(*planner_, job_id("j-1"));
    plan_fixture       other({.run_base_ = 1000});
    other.set_target("t-1");
    other.add_job("j-1", {make_step(3), make_step(1, {0})}, progress, true);
    other.tick();
    auto const again = other.list<start_run>();
    REQUIRE(again.size() == 2);
    CHECK(again[0].run_.index_ == 1);
    CHECK(again[0].checkpoint_ == "c-1");
    CHECK(again[0].run_.run_ == 1001);
}

// Starts a delegated job under an owner with this base of run numbers.
struct numbered_fixture : plan_fixture
{
    explicit numbered_fixture(std::uint32_t run_base)
        : plan_fixture({.run_base_ = run_base})
    {
    }

    std::uint32_t start_delegate(std::uint32_t first_run)
    {
        set_target("t-1");
        staged_job const job{.id_ = job_id("j-1~4-1"),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("orders"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {make_step(1)},
                             .alias_ =
                                 task_alias{.stage_ = {job_id("j-1"), 0, 0},
                                            .indices_ = {0},
                                            .failures_ = {0},
                                            .checkpoints_ = {""},
                                            .first_run_ = first_run}};
        post(job_added{.job_ = std::make_shared<staged_job const>(job),
                       .accepted_at_ = now_,
                       .recovered_ = true});
        tick();
        REQUIRE(list<start_run>().size() == 1);
        return list<start_run>()[0].run_.run_;
    }
};

// Guards against a run number that is used twice: the shard that delegated the
// task had changed its owner more often than the one that runs it.
TEST_CASE("delegate with high run numbers, owner changes, number is new")
{
    constexpr std::uint32_t first_run = 3000;
    numbered_fixture        before(0);
    numbered_fixture        after(1000);
    std::uint32_t const     earlier = before.start_delegate(first_run);
    CHECK(earlier > first_run);
    CHECK(after.start_delegate(first_run) > earlier);
}

} // namespace
} // namespace fescuevane::plan

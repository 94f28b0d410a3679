// Purpose: tests of runs that an owner rejects: no second run starts beside
// them.
#include "core/job_progress.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

// A new owner has loaded a job whose tasks are marked as delegated. Two targets
// have room for them; t-1 runs one of them.
struct rejected_fixture : plan_fixture
{
    stage_key const stage_{job_id("j-1"), 0, 0};
    job_id const    elsewhere_{"j-1~1-1"};
    run_key const   run_{stage_, 0, 1001};
    target_id const busy_{"t-1"};

    void recover(step_spec const& step)
    {
        set_target("t-1");
        set_target("t-2");
        job_progress progress{.phase_ = job_phase::running};
        for (std::uint32_t index = 0; index < step.count_; ++index)
        {
            progress.tasks_.push_back(
                {.index_ = index, .last_run_ = 1, .delegate_ = elsewhere_});
        }
        add_job("j-1", {step}, progress, true);
        post(run_seen{run_, busy_, "", 1});
        tick();
        REQUIRE(list<stop_run>() == std::vector{stop_run{run_, busy_}});
    }

    // Another shard delegates a task to this one.
    void add_delegate(job_id const& id, step_spec const& step,
                      task_alias const& alias, bool recovered)
    {
        post(job_added{.job_ = std::make_shared<staged_job const>(
                           staged_job{.id_ = id,
                                      .organisation_ = organisation_id("cafe"),
                                      .queue_ = queue_id("orders"),
                                      .service_ = service_id("desk"),
                                      .payload_ = "work",
                                      .steps_ = {step},
                                      .alias_ = alias}),
                       .accepted_at_ = now_,
                       .recovered_ = recovered});
    }

    // The delegate has ended, and its end is stored.
    void return_tasks()
    {
        post(delegate_ended{stage_, elsewhere_, job_phase::canceled});
        post(delegate_end_stored{stage_, elsewhere_});
        tick();
    }

    // The run ends in one of the ways in which a planner learns of it.
    void end_rejected()
    {
        SUBCASE("its end is reported")
        {
            post(run_ended{run_, busy_, run_end::stopped, ""});
        }
        SUBCASE("its leases lapsed")
        {
            post(run_ended{run_, busy_, run_end::lapsed, "", true});
        }
        SUBCASE("its target was removed or restarted")
        {
            post(target_removed{busy_});
        }
        CHECK(next_deadline(*planner_) <= now_);
        tick();
    }
};

// Guards against a task in two runs: it started while a run that the new owner
// had rejected was being stopped.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run goes on, task returned, waits for its end")
{
    recover(make_step(2));
    return_tasks();
    REQUIRE(list<start_run>().size() == 1); // the other task
    CHECK(list<start_run>()[0].run_.index_ == 1);
    end_rejected();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.index_ == 0);
}

// Guards against a repeated task: the rejected run was done before it stopped.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run ends as done, task returned, not started")
{
    recover(make_step(1));
    return_tasks();
    CHECK(list<start_run>().empty());
    post(run_ended{run_, busy_, run_end::done, ""});
    tick();
    CHECK(list<start_run>().empty());
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
}

// Guards against a gang in two runs, of which one is being stopped.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run of a gang goes on, returned, no task starts")
{
    recover({.count_ = 3,
             .demand_ = {1000, 512, 0},
             .estimate_ms_ = 1000,
             .gang_ = true});
    return_tasks();
    CHECK(list<start_run>().empty());
    end_rejected();
    CHECK(list<start_run>().size() == 3);
}

// Guards against a task in two runs in two shards: it moved on while a rejected
// run of it was being stopped.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run goes on, no room, not moved to another shard")
{
    recover(make_step(1));
    set_target("t-2", {500, 512, 0});
    return_tasks();
    advance(20 * micros_per_second);
    tick();
    CHECK(list_overflow(*planner_, now_, micros_per_second).empty());
    CHECK(!find_waiting(*planner_, stage_));
    set_target("t-1", {500, 512, 0});
    post(run_ended{run_, busy_, run_end::stopped, ""});
    tick();
    CHECK(list_overflow(*planner_, now_, 0).size() == 1);
}

// Guards against delays of tasks that may have several runs.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run of a speculative task goes on, started")
{
    recover({.count_ = 1,
             .demand_ = {1000, 512, 0},
             .estimate_ms_ = 1000,
             .speculative_ = true});
    return_tasks();
    CHECK(list<start_run>().size() == 1);
}

// Guards against a task in two runs: the run was rejected before the task was
// delegated to this shard, so it was reported for another job.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run of no job goes on, task delegated here, waits")
{
    set_target("t-1");
    set_target("t-2");
    run_key const run{{job_id("j-9"), 0, 0}, 5, 1001};
    post(run_seen{run, busy_, "", 1});
    tick();
    job_id const moved("j-9~1-1");
    add_delegate(moved, make_step(1),
                 {.stage_ = run.stage_,
                  .indices_ = {run.index_},
                  .failures_ = {0},
                  .checkpoints_ = {""},
                  .first_run_ = 1},
                 false);
    tick();
    CHECK(list<start_run>().empty());
    CHECK(!is_unstarted(*planner_, {moved, 0, 0}));
    post(run_ended{run, busy_, run_end::stopped, ""});
    tick();
    CHECK(list<start_run>().size() == 1);
}

// Guards against a gang in two runs: the end of a part was reported to the
// shard of the gang while a rejected run of the part was being stopped.
TEST_CASE_FIXTURE(rejected_fixture,
                  "rejected run of a gang's part goes on, part doesn't end")
{
    set_target("t-1");
    set_target("t-2");
    job_id const part("j-1~1-1");
    add_delegate(part,
                 {.count_ = 1,
                  .demand_ = {1000, 512, 0},
                  .estimate_ms_ = 1000,
                  .gang_ = true},
                 {.stage_ = stage_,
                  .indices_ = {2},
                  .failures_ = {0},
                  .checkpoints_ = {""},
                  .first_run_ = 4,
                  .gang_run_ = 5},
                 true);
    run_key const run{{part, 0, 0}, 0, 5};
    post(run_seen{run, target_id("t-1"), "", 1});
    post(run_seen{run, target_id("t-2"), "", 1});
    tick();
    REQUIRE(list<stop_run>().size() == 1);
    post(run_ended{run, target_id("t-1"), run_end::stopped, ""});
    tick();
    CHECK(find_phase(*planner_, part) != job_phase::canceled);
    post(run_ended{run, target_id("t-2"), run_end::stopped, ""});
    tick();
    CHECK(find_phase(*planner_, part) == job_phase::canceled);
}

} // namespace
} // namespace fescuevane::plan

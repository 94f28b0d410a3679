// Purpose: tests of the checkers of runs: each rejects a history that breaks
// its promise, so that a pass of the soak means something.
#include "tests/unit/soak_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::soak
{
namespace
{

TEST_CASE_FIXTURE(soak_fixture, "all checkers, a job that runs well, accept")
{
    add_good_job();
    for (checker const& checker : list_checkers())
    {
        CAPTURE(checker.name_);
        CHECK(checker.check_(past_).empty());
    }
}

// single_run

TEST_CASE_FIXTURE(soak_fixture,
                  "single_run, a second run before the first ends, rejects")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::start, 0, "", "target-2", 2);
    CHECK(check_single_run(past_).size() == 1);
}

// Guards against a checker that takes any end for that of the other run.
TEST_CASE_FIXTURE(soak_fixture,
                  "single_run, a third run after the end of one, rejects")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::start, 0, "", "target-2", 2);
    add_run(3, run_event_kind::end, 0, "stopped", "target-2", 2);
    add_run(4, run_event_kind::start, 0, "", "target-2", 3);
    CHECK(check_single_run(past_).size() == 2);
}

// Guards against a breach that can't be traced to the two owners.
TEST_CASE_FIXTURE(soak_fixture,
                  "single_run, runs of two owners, names owners and targets")
{
    add_start(1, "host-2", 3, "target-1/1", 1);
    add_start(2, "host-1", 5, "target-2/1", 1001);
    add_run(2.5, run_event_kind::end, 0, "lapsed", "target-1/1", 1);
    add_run(9, run_event_kind::end, 0, "done", "target-2/1", 1001);
    auto const found = check_single_run(past_);
    REQUIRE(found.size() == 1);
    CHECK(found[0].text_ ==
          "two runs of job.0.0.0 at once, for 500000 us, until one is lapsed: "
          "run 1 by host-2 with epoch 3 on target-1/1, "
          "run 1001 by host-1 with epoch 5 on target-2/1");
    CHECK(found[0].lines_.size() == 4);
}

// Guards against a checker that compares each run with the one before only.
TEST_CASE_FIXTURE(soak_fixture,
                  "single_run, a long run beside two short ones, rejects both")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::start, 0, "", "target-2", 2);
    add_run(3, run_event_kind::end, 0, "failed", "target-2", 2);
    add_run(4, run_event_kind::start, 0, "", "target-2", 3);
    add_run(5, run_event_kind::end, 0, "done", "target-2", 3);
    add_run(6, run_event_kind::end, 0, "lapsed");
    add_run(7, run_event_kind::start, 0, "", "target-2", 4);
    CHECK(check_single_run(past_).size() == 2);
}

// A target that starts again under its id is another one to the checker.
TEST_CASE_FIXTURE(soak_fixture,
                  "single_run, an end in another life of the target, rejects")
{
    add_run(1, run_event_kind::start, 0, "", "target-1/1");
    add_run(2, run_event_kind::end, 0, "lapsed", "target-1/2");
    add_run(3, run_event_kind::start, 0, "", "target-2/1", 2);
    CHECK(check_single_run(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture, "single_run, a run after a lapsed one, accepts")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::end, 0, "lapsed");
    add_run(3, run_event_kind::start, 0, "", "target-2", 2);
    CHECK(check_single_run(past_).empty());
}

// no_repeat

TEST_CASE_FIXTURE(soak_fixture,
                  "no_repeat, a start after an end that was noted, rejects")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::end, 0, "done");
    add_run(3, run_event_kind::noted, 0, "done");
    add_run(4, run_event_kind::start, 0, "", "target-2", 2);
    CHECK(check_no_repeat(past_).size() == 1);
}

// The end counts from the moment it was reached, not from when it was noted.
TEST_CASE_FIXTURE(soak_fixture,
                  "no_repeat, a start before an end is noted, rejects")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::end, 0, "done");
    add_run(3, run_event_kind::start, 0, "", "target-2", 2);
    add_run(4, run_event_kind::noted, 0, "done");
    CHECK(check_no_repeat(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "no_repeat, a start after a lapse before the note, accepts")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::end, 0, "done");
    past_.runs_.push_back({.time_ = micros(3),
                           .kind_ = run_event_kind::lapse,
                           .target_ = "target-1"});
    add_run(4, run_event_kind::noted, 0, "done");
    add_run(5, run_event_kind::start, 0, "", "target-2", 2);
    CHECK(check_no_repeat(past_).empty());
}

TEST_CASE_FIXTURE(soak_fixture,
                  "no_repeat, a start after the job was completed, rejects")
{
    add_call(3, call_kind::look_up, 200, "completed");
    add_run(5, run_event_kind::start, 0);
    CHECK(check_no_repeat(past_).size() == 1);
}

// step_order

TEST_CASE_FIXTURE(soak_fixture,
                  "step_order, a start before the step before ended, rejects")
{
    add_run(1, run_event_kind::start, 0);
    add_run(2, run_event_kind::end, 0, "failed");
    add_run(3, run_event_kind::start, 1);
    CHECK(check_step_order(past_).size() == 1);
}

// no_overcommit

TEST_CASE_FIXTURE(soak_fixture,
                  "no_overcommit, a third task on a full target, rejects")
{
    add_run(1, run_event_kind::start, 0, "", "target-1", 1, "job-1");
    add_run(2, run_event_kind::start, 0, "", "target-1", 1, "job-2");
    add_run(3, run_event_kind::start, 0, "", "target-1", 1, "job-3");
    CHECK(check_no_overcommit(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "no_overcommit, a third task after an end, accepts")
{
    add_run(1, run_event_kind::start, 0, "", "target-1", 1, "job-1");
    add_run(2, run_event_kind::start, 0, "", "target-1", 1, "job-2");
    add_run(3, run_event_kind::end, 0, "done", "target-1", 1, "job-1");
    add_run(4, run_event_kind::start, 0, "", "target-1", 1, "job-3");
    CHECK(check_no_overcommit(past_).empty());
}

// organisation_limit

TEST_CASE_FIXTURE(soak_fixture,
                  "organisation_limit, a task beyond the overrun, rejects")
{
    add_run(1, run_event_kind::start, 0, "", "target-1", 1, "job-1");
    add_run(2, run_event_kind::start, 0, "", "target-2", 1, "job-2");
    add_run(3, run_event_kind::start, 0, "", "target-3", 1, "job-3");
    CHECK(check_organisation_limit(past_).empty());
    add_run(4, run_event_kind::start, 0, "", "target-4", 1, "job-4");
    CHECK(check_organisation_limit(past_).size() == 1);
}

// attempts

TEST_CASE_FIXTURE(soak_fixture,
                  "attempts, a start after the last failed attempt, rejects")
{
    for (int run = 1; run <= past_.max_attempts_; ++run)
    {
        add_run(run, run_event_kind::start, 0, "", "target-1", run);
        add_run(run + 0.2, run_event_kind::end, 0, "failed", "target-1", run);
        add_run(run + 0.4, run_event_kind::noted, 0, "failed", "target-1", run);
    }
    CHECK(check_attempts(past_).empty());
    add_run(9, run_event_kind::start, 0, "", "target-1", 9);
    CHECK(check_attempts(past_).size() == 1);
}

// known_work

TEST_CASE_FIXTURE(soak_fixture, "known_work, a job of no client, rejects")
{
    add_run(1, run_event_kind::start, 0, "", "target-1", 1, "other");
    CHECK(check_known_work(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture, "known_work, the payload of another, rejects")
{
    past_.runs_.push_back({.kind_ = run_event_kind::start,
                           .task_ = {"job", 0, 0, 0},
                           .payload_job_ = "other"});
    CHECK(check_known_work(past_).size() == 1);
}

// evacuation

TEST_CASE_FIXTURE(soak_fixture, "evacuation, a start after the bound, rejects")
{
    past_.evacuations_.push_back({micros(10), micros(30), "domain-1"});
    add_run(14, run_event_kind::start, 0);
    CHECK(check_evacuation(past_).empty());
    add_run(16, run_event_kind::start, 0);
    CHECK(check_evacuation(past_).size() == 1);
}

TEST_CASE_FIXTURE(soak_fixture,
                  "evacuation, a start beside a fault or later, accepts")
{
    past_.evacuations_.push_back({micros(10), micros(30), "domain-1"});
    past_.faults_.push_back({micros(14), micros(15), "stop_host", "host-1"});
    add_run(16, run_event_kind::start, 0);
    add_run(31, run_event_kind::start, 0);
    CHECK(check_evacuation(past_).empty());
}

} // namespace
} // namespace fescuevane::soak

// Purpose: tests of the checkers of runs: each rejects a history that breaks
// its rule, so that a pass of `prove` means something, and accepts a good one.
#include "tests/unit/prove_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::prove
{
namespace
{

// no_overcommit

TEST_CASE_FIXTURE(prove_fixture,
                  "no_overcommit, tasks within slots and capacity, accepts")
{
    add_run(1, "start", "job-1");
    add_run(2, "start", "job-2");
    add_run(3, "end", "job-1");
    add_run(4, "start", "job-3");
    CHECK(check_no_overcommit(past_).empty());
}

// Guards against a checker that looks at resources only.
TEST_CASE_FIXTURE(prove_fixture,
                  "no_overcommit, a task above the slots, rejects")
{
    add_run(1, "start", "job-1");
    add_run(2, "start", "job-2");
    add_run(3, "start", "job-3");
    CHECK(check_no_overcommit(past_).size() == 1);
}

TEST_CASE_FIXTURE(prove_fixture,
                  "no_overcommit, a reservation above the capacity, rejects")
{
    add_run(1, "start", "job-1", "target-1", 1, true, 3000);
    add_run(2, "start", "job-2", "target-1", 1, true, 1001);
    CHECK(check_no_overcommit(past_).size() == 1);
}

// Guards against a stand-in that hides the breach by its own check.
TEST_CASE_FIXTURE(prove_fixture,
                  "no_overcommit, a start that the target rejected, rejects")
{
    past_.runs_.push_back({.time_ = seconds(1),
                           .event_ = "reject",
                           .target_ = "target-1",
                           .team_ = "team-1",
                           .job_ = "job-1",
                           .reason_ = "overcommit"});
    CHECK(check_no_overcommit(past_).size() == 1);
}

// single_run

TEST_CASE_FIXTURE(prove_fixture,
                  "single_run, a retry after the end of the first, accepts")
{
    add_run(1, "start", "job-1");
    add_run(2, "end", "job-1");
    add_run(3, "start", "job-1", "target-2", 2);
    CHECK(check_single_run(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "single_run, a retry while the first runs, rejects")
{
    add_run(1, "start", "job-1");
    add_run(2, "start", "job-1", "target-2", 2);
    CHECK(check_single_run(past_).size() == 1);
}

// Guards against a key that leaves out the target: two owners may start the
// same attempt.
TEST_CASE_FIXTURE(prove_fixture,
                  "single_run, the same attempt on two targets, rejects")
{
    add_run(1, "start", "job-1");
    add_run(2, "start", "job-1", "target-2");
    CHECK(check_single_run(past_).size() == 1);
}

// at_most_once

TEST_CASE_FIXTURE(prove_fixture, "at_most_once, an idempotent retry, accepts")
{
    add_run(1, "start", "job-1");
    add_run(2, "end", "job-1");
    add_run(3, "start", "job-1", "target-2", 2);
    add_run(4, "start", "job-2", "target-2", 1, false);
    CHECK(check_at_most_once(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "at_most_once, a second start after the first ended, rejects")
{
    add_run(1, "start", "job-1", "target-1", 1, false);
    add_run(2, "end", "job-1", "target-1", 1, false);
    add_run(3, "start", "job-1", "target-2", 2, false);
    CHECK(check_at_most_once(past_).size() == 1);
}

// team_limit

TEST_CASE_FIXTURE(prove_fixture,
                  "team_limit, old limit until the acceptance, accepts")
{
    add_ticket(1, 0, 2000, "key-1");
    add_run(2, "start", "job-1");
    add_ticket(2, 3, 1000, "key-1");
    add_run(3, "start", "job-2");
    add_run(4, "end", "job-1");
    CHECK(check_team_limit(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture, "team_limit, a start above the limit, rejects")
{
    add_ticket(1, 0, 1500, "key-1");
    add_run(2, "start", "job-1");
    add_run(3, "start", "job-2", "target-2");
    CHECK(check_team_limit(past_).size() == 1);
}

// Guards against a check at starts only: the acceptance says that the new
// limit holds.
TEST_CASE_FIXTURE(prove_fixture,
                  "team_limit, tasks above the new limit at its acceptance, "
                  "rejects")
{
    add_ticket(1, 0, 2000, "key-1");
    add_run(2, "start", "job-1");
    add_run(2, "start", "job-2");
    add_ticket(2, 3, 1000, "key-1");
    add_run(6, "end", "job-1");
    CHECK(check_team_limit(past_).size() == 1);
}

// domain_out

TEST_CASE_FIXTURE(prove_fixture,
                  "domain_out, starts within the bound and after the return, "
                  "accepts")
{
    add_ticket(1, 0, 2000, "key-1", false);
    add_run(5, "start", "job-1");
    add_ticket(2, 10, 2000, "key-1", true);
    add_run(10, "start", "job-2");
    CHECK(check_domain_out(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture, "domain_out, a start after the bound, rejects")
{
    add_ticket(1, 0, 2000, "key-1", false);
    add_run(7, "start", "job-1");
    add_ticket(2, 10, 2000, "key-1", true);
    CHECK(check_domain_out(past_).size() == 1);
}

// target_drain

TEST_CASE_FIXTURE(prove_fixture,
                  "target_drain, starts elsewhere and after the stay, accepts")
{
    add_run(1, "leaving", "");
    add_run(5, "start", "job-1");
    add_run(8, "start", "job-2", "target-2");
    add_run(9, "staying", "");
    add_run(10, "start", "job-3");
    CHECK(check_target_drain(past_).empty());
}

TEST_CASE_FIXTURE(prove_fixture,
                  "target_drain, a start after the bound, rejects")
{
    add_run(1, "leaving", "");
    add_run(7, "start", "job-1");
    CHECK(check_target_drain(past_).size() == 1);
}

} // namespace
} // namespace fescuevane::prove

// Purpose: tests of targets that are unreached, lost, leaving or found again,
// and of a failure domain out of service.
#include "core/core.hpp"
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::decide
{
namespace
{

struct takeover_fixture : decide_fixture
{
    takeover_fixture()
    {
        post(target_unreached{target_id("target-9"),
                              {4000, 8192, 0},
                              now_.after(5 * micros_per_second)});
        join_target("target-1");
    }

    void lapse()
    {
        advance(5 * micros_per_second);
        tick();
    }

    void recover(job_spec const& spec)
    {
        join_target("target-9");
        post(task_recovered{
            spec, {spec.key_, 0, 1}, target_id("target-9"), spec.demand_});
        tick();
    }
};

// Guards against a second run beside one that can't be seen.
TEST_CASE_FIXTURE(takeover_fixture,
                  "may_run job, target unreached, is held until it lapses")
{
    post(job_submitted{make_request("order-1"), true});
    tick();
    CHECK(commands_.empty());
    lapse();
    CHECK(list<start_task>().size() == 1);
}

// Guards against a held job that is started beside the one that was found.
TEST_CASE_FIXTURE(takeover_fixture,
                  "may_run job, found on its target, is not started again")
{
    post(job_submitted{make_request("order-1"), true});
    recover(make_request("order-1"));
    CHECK(list<start_task>().empty());
    CHECK(last_result().state_ == job_state::running);
    CHECK(last_result().target_ == target_id("target-9"));
}

// A target that was counted as lost, with a task of a job that waits for its
// next attempt.
struct returning_target_fixture : decide_fixture
{
    // Returns with the end of a task's first attempt, then the backoff passes.
    std::vector<start_task> return_and_wait(job_spec const& spec,
                                            std::size_t     index)
    {
        join_target("target-1");
        post(job_submitted{spec});
        tick();
        start_task const lost = list<start_task>().at(index);
        post(target_lost{lost.target_});
        tick();
        join_target("target-1");
        post(task_recovered{spec, lost.task_, lost.target_, spec.demand_});
        end(lost, outcome::succeeded);
        advance(5 * micros_per_second);
        tick();
        return list<start_task>();
    }
};

// Guards against a job that is neither answered nor started again: the attempt
// that waited was dropped for the one that the target listed.
TEST_CASE_FIXTURE(returning_target_fixture,
                  "request, lost and listed by its target later, runs again")
{
    auto const again = return_and_wait(make_request("order-1"), 0);
    REQUIRE(again.size() == 1);
    CHECK(again[0].task_.attempt_ == 2);
    end(again[0], outcome::succeeded);
    CHECK(last_result().state_ == job_state::answered);
}

// Guards against a process that fails an assertion: a gang was queued although
// the waiting attempt of one of its tasks had been dropped.
TEST_CASE_FIXTURE(returning_target_fixture,
                  "gang, lost and one task listed later, runs again as a whole")
{
    std::size_t listed = 0;
    SUBCASE("its first task")
    {
        listed = 0;
    }
    SUBCASE("its last task")
    {
        listed = 1;
    }
    auto const spec = make_job("match", work_kind::gang, 2);
    CHECK(return_and_wait(spec, listed).size() == 2);
}

// Guards against "not run" for work that may run unseen.
TEST_CASE_FIXTURE(takeover_fixture,
                  "may_run job, deadline while unreached, becomes unknown")
{
    post(job_submitted{make_request_until("order-1", now_.after(1000)), true});
    tick();
    advance(1000);
    tick();
    CHECK(last_result().state_ == job_state::unknown);
}

// Guards against a false "not run", and against a caller that never hears of
// the job: a target may have run it and restarted since.
TEST_CASE_FIXTURE(takeover_fixture,
                  "non-idempotent may_run job, found nowhere, is unknown")
{
    post(job_submitted{make_once("order-1"), true});
    tick();
    CHECK(commands_.empty());
    join_target("target-9");
    tick();
    CHECK(last_result().state_ == job_state::unknown);
}

// Guards against a false "not run": the job may have run on the lost target.
TEST_CASE_FIXTURE(takeover_fixture,
                  "non-idempotent may_run job, target never seen, is unknown")
{
    post(job_submitted{make_once("order-1"), true});
    tick();
    lapse();
    CHECK(last_result().state_ == job_state::unknown);
}

// Guards against a limit that is exceeded by what runs unseen.
TEST_CASE_FIXTURE(takeover_fixture,
                  "allotment, target unreached, counts its capacity as used")
{
    post(policy_set{{{.team_ = team_id("team-1"),
                      .allotment_ = resources(4500, 16384, 0)}}});
    post(job_submitted{make_request("order-1")});
    tick();
    CHECK(list<start_task>().empty());
    lapse();
    CHECK(list<start_task>().size() == 1);
}

// Guards against new work on a leaving target and against services that end
// with it; requests end by themselves.
TEST_CASE_FIXTURE(
    decide_fixture,
    "target leaving, service and request there, moves the service")
{
    auto const service = start_one(make_job("monitor", work_kind::service, 1));
    submit_and_start(make_request("order-1"));
    post(target_leaving{target_id("target-1")});
    tick();
    REQUIRE(list<stop_task>().size() == 1);
    CHECK(list<stop_task>()[0].task_ == service.task_);
    CHECK(list<stop_task>()[0].checkpoint_);

    join_target("target-2");
    end(service, outcome::canceled);
    REQUIRE(list<start_task>().size() == 1);
    CHECK(list<start_task>()[0].target_ == target_id("target-2"));
}

// Guards against starts in a domain out of service.
TEST_CASE_FIXTURE(decide_fixture,
                  "domain out, work queued and submitted, refuses all of it")
{
    post(job_submitted{make_request("order-1")});
    tick();
    join_target("target-1");
    set_policy(false);
    post(job_submitted{make_request("order-2")});
    tick();

    CHECK(list<start_task>().empty());
    auto const told = list<job_changed>();
    REQUIRE(told.size() == 2);
    for (auto const& each : told)
    {
        CHECK(each.result_.state_ == job_state::not_run);
        CHECK(each.result_.reason_ == "failure domain out of service");
    }
}

// Guards against batches that stay in a domain out of service.
TEST_CASE_FIXTURE(decide_fixture,
                  "domain out, batch running, is stopped and sent elsewhere")
{
    auto const start = start_one(make_job("batch-1", work_kind::batch, 1));
    set_policy(false);
    tick();
    REQUIRE(list<stop_task>().size() == 1);
    CHECK(list<stop_task>()[0].checkpoint_);
    end(start, outcome::canceled);
    CHECK(last_result().state_ == job_state::not_run);
    CHECK(last_result().reason_ == "failure domain out of service");
}

// Guards against a returned domain that takes all waiting work in one step.
TEST_CASE_FIXTURE(decide_fixture,
                  "domain returns, work waits, uses its capacity step by step")
{
    join_target("target-1", {10000, 65536, 0}, 60);
    set_policy(false);
    tick();
    set_policy(true);
    for (int i = 0; i < 10; ++i)
    {
        post(job_submitted{make_request("order-" + std::to_string(i))});
    }
    tick();
    CHECK(list<start_task>().empty());
    advance(micros_per_second);
    tick();
    CHECK(list<start_task>().size() == 2); // 20% of ten cores
    advance(5 * micros_per_second);
    tick();
    CHECK(list<start_task>().size() == 8);
}

} // namespace
} // namespace fescuevane::decide

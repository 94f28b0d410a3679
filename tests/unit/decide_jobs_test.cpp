// Purpose: tests of submissions, cancellations, deadlines and queues.
#include "core/core.hpp"
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>
#include <memory>

namespace fescuevane::decide
{
namespace
{

// Guards against a second run of a job that its caller asked for twice.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, submitted again, tells its state and starts once")
{
    join_target("target-1");
    post(job_submitted{make_request("order-1")});
    tick();
    post(job_submitted{make_request("order-1")});
    tick();

    CHECK(list<start_task>().empty());
    CHECK(last_result().state_ == job_state::dispatched);
}

// Guards against the answer of one job being given to another.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, id used with other content, refuses the second only")
{
    join_target("target-1");
    post(job_submitted{make_request("order-1")});
    post(job_submitted{make_request("order-1", {2000, 512, 0})});
    tick();

    CHECK(list<job_changed>().at(0).result_.reason_ ==
          "id used with other content");
    CHECK(find_result(*scheduler_, make_request("order-1").key_)->state_ ==
          job_state::dispatched);
}

// Guards against a canceled job that starts later.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, canceled while queued, is not run and never starts")
{
    post(job_submitted{make_request("order-1")});
    tick();
    post(jobs_canceled{{make_request("order-1").key_}});
    tick();
    CHECK(last_result().state_ == job_state::not_run);
    CHECK(last_result().reason_ == "canceled");

    join_target("target-1");
    tick();
    CHECK(list<start_task>().empty());
}

// Guards against a cancellation that is told before the task has ended.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, canceled while running, is answered at its end")
{
    auto const start = start_one(make_request("order-1"));
    post(jobs_canceled{{start.task_.job_}});
    tick();
    REQUIRE(list<stop_task>().size() == 1);
    CHECK(list<job_changed>().empty());

    end(start, outcome::canceled);
    CHECK(last_result().state_ == job_state::answered);
    CHECK(last_result().outcome_ == outcome::canceled);
}

// Guards against late copies of reports that change a final result.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, late and repeated reports, keeps its first answer")
{
    auto const start = start_one(make_request("order-1"));
    end(start, outcome::succeeded);
    end(start, outcome::failed);
    post(task_started{start.task_, start.target_});
    post(task_rejected{start.task_, start.target_, "late"});
    tick();

    CHECK(commands_.empty());
    CHECK(find_result(*scheduler_, start.task_.job_)->outcome_ ==
          outcome::succeeded);
}

// Guards against a caller that waits longer than it wanted to.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, queued past its deadline, is not run with retry-after")
{
    post(job_submitted{make_request_until("order-1", now_.after(1000))});
    tick();
    CHECK(next_deadline(*scheduler_) <= now_.after(1000));
    advance(1000);
    tick();

    CHECK(last_result().state_ == job_state::not_run);
    CHECK(last_result().retry_after_micros_ > 0);
}

// Guards against a burst of one team that fills the queues of all.
TEST_CASE_FIXTURE(bounded_fixture,
                  "queue, full by one team, gives way to another team")
{
    for (int i = 0; i < 8; ++i)
    {
        post(job_submitted{make_request("order-" + std::to_string(i))});
    }
    tick();
    CHECK(list<job_changed>().size() == 2); // above the bound of the team

    job_spec const other{.key_ = {team_id("team-2"), job_id("order-1")},
                         .service_ = service_id("orders"),
                         .demand_ = {1000, 512, 0}};
    post(job_submitted{other});
    tick();
    REQUIRE(list<job_changed>().size() == 1);
    CHECK(last_result().key_.team_ == team_id("team-1"));
    CHECK(last_result().reason_ == "queue is full");
}

// Guards against work that waits for minutes to be refused at its deadline.
TEST_CASE_FIXTURE(decide_fixture,
                  "queue, wait beyond the deadline, refuses early")
{
    join_target("target-1", {1000, 8192, 0});
    auto const first = submit_and_start(make_request("order-1"));
    advance(micros_per_second);
    end(first, outcome::succeeded);
    for (int i = 2; i < 6; ++i)
    {
        post(job_submitted{make_request("order-" + std::to_string(i))});
    }
    tick();
    post(job_submitted{
        make_request_until("order-6", now_.after(2 * micros_per_second))});
    tick();

    CHECK(last_result().state_ == job_state::not_run);
    CHECK(last_result().reason_ == "expected wait exceeds the start deadline");
    CHECK(last_result().retry_after_micros_ >= 2 * micros_per_second);
}

// Guards against a job that waits for ever because nothing can hold it.
TEST_CASE_FIXTURE(decide_fixture,
                  "job, larger than any target, is refused after the hold")
{
    join_target("target-1");
    post(job_submitted{make_request("order-1", {5000, 512, 0})});
    tick();
    CHECK(list<job_changed>().empty());
    advance(settings_.infeasible_hold_micros_);
    tick();
    CHECK(last_result().state_ == job_state::not_run);
    CHECK(last_result().reason_ == "larger than any target");
}

// Guards against gangs and limits that are judged by one task alone.
TEST_CASE_FIXTURE(decide_fixture,
                  "gang, larger than shard or limit, is refused with a reason")
{
    join_target("target-1");
    post(policy_set{{{.team_ = team_id("team-1")},
                     {.team_ = team_id("team-2"),
                      .allotment_ = resources(2000, 8192, 0)}}});
    post(job_submitted{make_job("gang-1", work_kind::gang, 5)});
    post(job_submitted{make_job("gang-2", work_kind::gang, 3, "team-2")});
    tick();
    advance(settings_.infeasible_hold_micros_);
    tick();

    auto const told = list<job_changed>();
    REQUIRE(told.size() == 2);
    CHECK(told[0].result_.reason_ == "gang is larger than the shard");
    CHECK(told[1].result_.reason_ == "larger than the limit of the team");
}

} // namespace
} // namespace fescuevane::decide

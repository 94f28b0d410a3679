// Purpose: tests of retries, restarts and probation.
#include "core/core.hpp"
#include "decide/shard_load.hpp"
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>
#include <vector>

namespace fescuevane::decide
{
namespace
{

// Guards against idempotent work that is lost with its target.
TEST_CASE_FIXTURE(decide_fixture,
                  "idempotent request, target lost, starts again elsewhere")
{
    auto const start = start_one(make_request("order-1"));
    join_target("target-2");
    post(target_lost{start.target_});
    tick();
    CHECK(list<start_task>().empty()); // backoff

    advance(settings_.retry_delay_max_micros_);
    tick();
    REQUIRE(list<start_task>().size() == 1);
    CHECK(list<start_task>()[0].task_.attempt_ == 2);
    CHECK(list<start_task>()[0].target_ == target_id("target-2"));
}

// Guards against a second run of non-idempotent work.
TEST_CASE_FIXTURE(decide_fixture,
                  "non-idempotent request, target lost, becomes unknown")
{
    auto const start = start_one(make_once("order-1"));
    join_target("target-2");
    post(target_lost{start.target_});
    tick();

    CHECK(last_result().state_ == job_state::unknown);
    advance(settings_.retry_delay_max_micros_);
    tick();
    CHECK(list<start_task>().empty());
}

// Guards against "unknown" for a start that the target ruled out.
TEST_CASE_FIXTURE(decide_fixture,
                  "non-idempotent request, start rejected, is not run")
{
    auto const start = start_one(make_once("order-1"));
    post(task_rejected{start.task_, start.target_, "no slot"});
    tick();

    CHECK(last_result().state_ == job_state::not_run);
    CHECK(last_result().reason_ == "no slot");
}

// Guards against a failure that is hidden from the caller by retries.
TEST_CASE_FIXTURE(decide_fixture,
                  "request, fails by itself, is answered as failed")
{
    auto const start = start_one(make_request("order-1"));
    end(start, outcome::failed);
    CHECK(last_result().state_ == job_state::answered);
    CHECK(last_result().outcome_ == outcome::failed);
}

// Guards against a batch that fails for ever or gives up at once.
TEST_CASE_FIXTURE(decide_fixture,
                  "batch, fails by itself, is tried max_attempts times")
{
    std::vector<start_task> starts{
        start_one(make_job("batch-1", work_kind::batch, 1))};
    for (std::uint32_t i = 1; i < settings_.max_attempts_; ++i)
    {
        end(starts.back(), outcome::failed);
        advance(settings_.retry_delay_max_micros_);
        tick();
        REQUIRE(list<start_task>().size() == 1);
        starts.push_back(list<start_task>()[0]);
    }
    end(starts.back(), outcome::failed);
    CHECK(last_result().outcome_ == outcome::failed);
}

// Guards against a service that stays down after its task has ended.
TEST_CASE_FIXTURE(decide_fixture, "service, task ends, starts again")
{
    auto const start = start_one(make_job("monitor", work_kind::service, 1));
    end(start, outcome::succeeded);
    CHECK(list<start_task>().empty());
    advance(settings_.retry_delay_max_micros_);
    tick();
    CHECK(list<start_task>().size() == 1);
}

// Guards against a storm of retries that takes the place of fresh work.
TEST_CASE_FIXTURE(decide_fixture,
                  "retries, many at once, stay within the budget")
{
    join_target("target-1", {64000, 65536, 0}, 60);
    for (int i = 0; i < 50; ++i)
    {
        post(job_submitted{make_request("order-" + std::to_string(i))});
    }
    tick();
    join_target("target-2", {64000, 65536, 0}, 60);
    post(target_lost{target_id("target-1")});
    tick();
    advance(2 * settings_.retry_delay_micros_ * 2);
    tick();
    // Ten at the beginning, and ten percent of fifty fresh starts, and what
    // the floor of ten a second adds.
    CHECK(list<start_task>().size() >= 10);
    CHECK(list<start_task>().size() <= 18);
}

// Guards against a target that attracts work because it fails it quickly.
TEST_CASE_FIXTURE(decide_fixture,
                  "target, different jobs fail in a row, gets no work")
{
    join_target("target-1");
    join_target("target-2", {500, 512, 0}); // too small for now
    for (std::uint32_t i = 0; i < settings_.probation_failures_; ++i)
    {
        end(submit_and_start(make_request("order-" + std::to_string(i))),
            outcome::failed);
    }
    join_target("target-2");
    for (int i = 0; i < 4; ++i)
    {
        CHECK(submit_and_start(make_request("late-" + std::to_string(i)))
                  .target_ == target_id("target-2"));
    }
    advance(settings_.probation_micros_);
    CHECK(submit_and_start(make_request("later")).target_ ==
          target_id("target-1"));
}

// Guards against good targets that are shut out by a job that always fails.
TEST_CASE_FIXTURE(decide_fixture,
                  "batch, fails on different targets, leaves them in use")
{
    join_target("target-1");
    join_target("target-2");
    auto const spec = make_job("batch-1", work_kind::batch, 1);
    post(job_submitted{spec});
    tick();
    while (!list<start_task>().empty())
    {
        end(list<start_task>()[0], outcome::failed);
        advance(settings_.retry_delay_max_micros_);
        tick();
    }
    CHECK(summarize_load(*scheduler_).free_slots_ == 16);
}

} // namespace
} // namespace fescuevane::decide

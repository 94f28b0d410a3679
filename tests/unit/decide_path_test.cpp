// Purpose: tests of the path of one request through the scheduler.
#include "core/core.hpp"
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>
#include <memory>

namespace fescuevane::decide
{
namespace
{

// Guards against a request that is accepted but never sent to a target.
TEST_CASE_FIXTURE(decide_fixture,
                  "scheduler, request with a free target, starts it there")
{
    join_target("target-1");
    post(job_submitted{make_request("order-1")});
    tick();

    auto const starts = list<start_task>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target_ == target_id("target-1"));
    CHECK(starts[0].task_.attempt_ == 1);
}

// Guards against an answer that is lost or cut short on its way back.
TEST_CASE_FIXTURE(decide_fixture,
                  "scheduler, task ended with a body, answers with that body")
{
    join_target("target-1");
    post(job_submitted{make_request("order-1")});
    tick();
    auto const start = list<start_task>().at(0);
    post(task_ended{.task_ = start.task_,
                    .target_ = start.target_,
                    .body_ = std::make_shared<std::string const>("done")});
    tick();

    auto const told = list<job_changed>();
    REQUIRE(told.size() == 1);
    CHECK(told[0].result_.state_ == job_state::answered);
    CHECK(*told[0].result_.body_ == "done");
}

// Guards against an overcommitted host.
TEST_CASE_FIXTURE(decide_fixture,
                  "scheduler, demand above the free capacity, starts nothing")
{
    join_target("target-1", resources(1500, 8192, 0));
    post(job_submitted{make_request("order-1")});
    post(job_submitted{make_request("order-2")});
    tick();

    CHECK(list<start_task>().size() == 1);
}

} // namespace
} // namespace fescuevane::decide

// Purpose: tests of work behind other work of its team that can't start.
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>
#include <cstddef>
#include <string>

namespace fescuevane::decide
{
namespace
{

// A service, which doesn't end, uses a quarter of the only target. So a job
// that needs all of it can't start, although the target is large enough.
struct queue_order_fixture : decide_fixture
{
    queue_order_fixture()
    {
        join_target("target-1");
        submit_and_start(make_job("service", work_kind::service, 1));
    }

    static job_spec make_large(work_kind kind, std::uint32_t tasks)
    {
        return {.key_ = {team_id("team-1"), job_id("large")},
                .service_ = service_id("large"),
                .kind_ = kind,
                .task_count_ = tasks,
                .demand_ = {4000, 512, 0}};
    }

    // Starts in a minute.
    std::size_t count_starts()
    {
        std::size_t   starts = 0;
        constexpr int seconds = 60;
        for (int second = 0; second < seconds; ++second)
        {
            advance(micros_per_second);
            tick();
            starts += list<start_task>().size();
        }
        return starts;
    }
};

TEST_SUITE_BEGIN("queue_order");

// Guards against small tasks that wait forever behind more large ones than are
// looked at.
TEST_CASE_FIXTURE(queue_order_fixture,
                  "large batch has no room, small one behind it, starts")
{
    constexpr std::uint32_t looked_at = 8;
    post(job_submitted{make_large(work_kind::batch, looked_at)});
    tick();
    post(job_submitted{make_job("small", work_kind::batch, 1)});
    CHECK(count_starts() == 1);
}

// Guards against the same for gangs, of which only the first is looked at.
TEST_CASE_FIXTURE(queue_order_fixture,
                  "large gang has no room, small one behind it, starts")
{
    post(job_submitted{make_large(work_kind::gang, 1)});
    tick();
    post(job_submitted{make_job("small", work_kind::gang, 2)});
    CHECK(count_starts() == 2);
}

TEST_SUITE_END();

} // namespace
} // namespace fescuevane::decide

// Purpose: tests of the demand for long requests to the policy service.
#include "plan_fixture.hpp"

#include "plan/wanted_requests.hpp"

#include <doctest/doctest.h>
#include <set>
#include <string>

namespace fescuevane::plan
{
namespace
{

// Replies take long, and nine jobs of one task need one each.
struct wanted_requests_fixture : plan_fixture
{
    wanted_requests_fixture()
    {
        set_queue(advice_policy{400, 5, 2000});
        for (int target = 0; target < 20; ++target)
        {
            set_target("t-" + std::to_string(10 + target));
        }
        for (int job = 0; job < 9; ++job)
        {
            add_job("j-" + std::to_string(job), {make_step(1)});
        }
    }

    void limit_requests(std::uint32_t limit)
    {
        post(advice_limit_changed{limit});
        tick();
    }
};

// Guards against a shard that gets no more hosts than it uses already.
TEST_CASE_FIXTURE(wanted_requests_fixture,
                  "limit of requests reached, stages without one are wanted")
{
    limit_requests(4);
    CHECK(count_long_requests(*planner_) == 4);
    CHECK(count_wanted_requests(*planner_) == 9);
}

// Guards against a shard that takes hosts for stages that need no request.
TEST_CASE_FIXTURE(wanted_requests_fixture,
                  "limit of requests not reached, only those in flight are "
                  "wanted")
{
    limit_requests(12);
    CHECK(count_wanted_requests(*planner_) == 9);
    post(job_canceled{job_id("j-1")});
    tick();
    CHECK(count_wanted_requests(*planner_) == 8);
}

// Guards against hosts that are kept for work that ended.
TEST_CASE_FIXTURE(wanted_requests_fixture,
                  "limit of requests reached, waiting jobs canceled, only "
                  "those in flight are wanted")
{
    limit_requests(4);
    std::set<job_id> asked;
    for (advice_request const& request : list<advice_request>())
    {
        asked.insert(request.stage_.job_);
    }
    for (int job = 0; job < 9; ++job)
    {
        job_id const id("j-" + std::to_string(job));
        if (!asked.contains(id))
        {
            post(job_canceled{id});
        }
    }
    tick();
    CHECK(count_wanted_requests(*planner_) == 4);
}

} // namespace
} // namespace fescuevane::plan

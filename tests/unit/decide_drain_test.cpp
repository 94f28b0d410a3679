// Purpose: tests of work whose failure domain is out of service.
#include "core/core.hpp"
#include "decide/reasons.hpp"
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::decide
{
namespace
{

struct drain_fixture : decide_fixture
{
    job_submitted make_accepted() const
    {
        return {.spec_ = make_request("order-1"), .recorded_ = true};
    }

    job_result last_result() const
    {
        return list<job_changed>().back().result_;
    }
};

// Guards against accepted work that waits for ever: no other shard took it
// before its own failure domain came back.
TEST_CASE_FIXTURE(drain_fixture,
                  "accepted job, domain out and back, starts when repeated")
{
    join_target("target-1");
    set_policy(false);
    post(make_accepted());
    tick();
    REQUIRE(last_result().reason_ == reason_domain_out);

    set_policy(true);
    post(make_accepted());
    std::size_t starts = 0;
    for (int second = 0; second < 10; ++second) // the ramp after the return
    {
        advance(micros_per_second);
        tick();
        starts += list<start_task>().size();
    }
    CHECK(starts == 1);
}

// Guards against a start in a failure domain that operators have taken out.
TEST_CASE_FIXTURE(drain_fixture,
                  "accepted job, repeated while the domain is out, is refused")
{
    join_target("target-1");
    set_policy(false);
    post(make_accepted());
    tick();
    post(make_accepted());
    tick();
    CHECK(list<start_task>().empty());
    CHECK(last_result().reason_ == reason_domain_out);
}

} // namespace
} // namespace fescuevane::decide

// Purpose: tests of gangs, shares, allotments and estimates.
#include "core/core.hpp"
#include "tests/unit/decide_fixture.hpp"

#include <doctest/doctest.h>
#include <algorithm>

namespace fescuevane::decide
{
namespace
{

struct shares_fixture : decide_fixture
{
    void submit_batch(std::string const& team, std::uint32_t tasks)
    {
        post(job_submitted{
            make_job("batch-" + team, work_kind::batch, tasks, team)});
    }

    std::size_t count_starts(std::string const& team) const
    {
        auto const starts = list<start_task>();
        return static_cast<std::size_t>(
            std::count_if(starts.begin(), starts.end(),
                          [&team](start_task const& start)
                          {
                              return start.task_.job_.team_ == team_id(team);
                          }));
    }
};

// Guards against a gang that waits half started.
TEST_CASE_FIXTURE(shares_fixture, "gang, room for some tasks only, starts none")
{
    join_target("target-1", {4000, 8192, 0});
    post(job_submitted{make_request("order-1", {2000, 512, 0})});
    tick();
    post(job_submitted{make_job("gang-1", work_kind::gang, 4)});
    tick();
    CHECK(list<start_task>().empty());

    join_target("target-2", {4000, 8192, 0});
    tick();
    CHECK(list<start_task>().size() == 4);
}

// Guards against a gang that starves behind small tasks, and against a
// reservation that keeps capacity idle for ever.
TEST_CASE_FIXTURE(shares_fixture,
                  "gang, aged, holds a target until its reservation expires")
{
    auto const small = start_one(make_request("order-1"));
    post(job_submitted{make_job("gang-1", work_kind::gang, 4)});
    tick();
    advance(settings_.gang_age_micros_);
    tick();
    post(job_submitted{make_request("order-2")});
    tick();
    CHECK(list<start_task>().empty()); // held

    advance(settings_.gang_reserve_micros_);
    tick();
    REQUIRE(list<start_task>().size() == 1);
    CHECK(list<start_task>()[0].task_.job_.job_ == job_id("order-2"));
    end(list<start_task>()[0], outcome::succeeded);
    end(small, outcome::succeeded);
    CHECK(list<start_task>().size() == 4);
}

// Guards against a limit that is exceeded by a burst.
TEST_CASE_FIXTURE(shares_fixture,
                  "allotment, batch larger than it, starts only what fits")
{
    join_target("target-1", {16000, 65536, 0}, 60);
    post(policy_set{{{.team_ = team_id("team-1"),
                      .allotment_ = resources(3500, 65536, 0)}}});
    submit_batch("team-1", 10);
    tick();
    CHECK(list<start_task>().size() == 3);
}

// Guards against a lowered limit that what runs still exceeds.
TEST_CASE_FIXTURE(shares_fixture,
                  "allotment, lowered below what runs, stops the newest tasks")
{
    join_target("target-1", {16000, 65536, 0}, 60);
    submit_batch("team-1", 4);
    tick();
    auto const starts = list<start_task>();
    post(policy_set{{{.team_ = team_id("team-1"),
                      .allotment_ = resources(2000, 65536, 0)}}});
    tick();
    auto const stops = list<stop_task>();
    REQUIRE(stops.size() == 2);
    CHECK(stops[0].task_ == starts[3].task_);
    CHECK(stops[0].checkpoint_);
    tick();
    CHECK(list<stop_task>().empty());
    advance(settings_.reclaim_grace_micros_);
    tick();
    REQUIRE(list<stop_task>().size() == 2);
    CHECK_FALSE(list<stop_task>()[0].checkpoint_);
}

// Guards against work of a team that operators have removed.
TEST_CASE_FIXTURE(shares_fixture,
                  "team, removed from the policy, gets no starts")
{
    submit_batch("team-1", 1);
    tick();
    join_target("target-1");
    post(policy_set{{{.team_ = team_id("team-2")}}});
    tick();
    CHECK(list<start_task>().empty());
    CHECK(last_result().state_ == job_state::not_run);
}

// Guards against shares that are ignored when the shard is full.
TEST_CASE_FIXTURE(shares_fixture,
                  "shares, two backlogged teams, start by their weights")
{
    join_target("target-1", {12000, 65536, 0}, 60);
    post(policy_set{{{.team_ = team_id("team-1"), .share_ = 2},
                     {.team_ = team_id("team-2"), .share_ = 1}}});
    submit_batch("team-1", 30);
    submit_batch("team-2", 30);
    tick();
    CHECK(count_starts("team-1") == 8);
    CHECK(count_starts("team-2") == 4);
}

// Guards against lent capacity that never comes back, and against a stop
// without the gentler steps before it.
TEST_CASE_FIXTURE(shares_fixture,
                  "shares, lent capacity wanted back, throttles then stops")
{
    join_target("target-1", {8000, 65536, 0}, 60);
    submit_batch("team-1", 8);
    tick();
    CHECK(count_starts("team-1") == 8); // lent
    submit_batch("team-2", 8);
    tick();
    tick();
    CHECK(list<throttle_task>().size() == 4);
    CHECK(list<stop_task>().empty());

    advance(settings_.reclaim_grace_micros_);
    tick();
    auto const stops = list<stop_task>();
    REQUIRE(stops.size() == 4);
    CHECK(stops[0].checkpoint_);
    for (auto const& stop : stops)
    {
        post(task_ended{.task_ = stop.task_,
                        .target_ = stop.target_,
                        .outcome_ = outcome::canceled,
                        .checkpointed_ = true});
    }
    tick();
    CHECK(count_starts("team-2") == 4);
    CHECK(count_starts("team-1") == 0);
}

// Guards against stops that only exchange two teams: the freed part was too
// small for the waiting task, so the stopped ones started again.
TEST_CASE_FIXTURE(shares_fixture,
                  "shares, next task passes the share, stops nothing for it")
{
    join_target("target-1", {5000, 65536, 0}, 60);
    submit_batch("team-2", 2);
    tick();
    post(job_submitted{{.key_ = {team_id("team-1"), job_id("small")},
                        .service_ = service_id("small"),
                        .kind_ = work_kind::batch,
                        .task_count_ = 14,
                        .demand_ = {250, 128, 0}}});
    tick();
    REQUIRE(count_starts("team-1") == 12); // half a core above its share
    post(job_submitted{
        make_job("more", work_kind::batch, 1, "team-2")}); // wants a core
    for (int step = 0; step < 3; ++step)
    {
        tick();
        CHECK(list<throttle_task>().empty());
        CHECK(list<stop_task>().empty());
        advance(settings_.reclaim_grace_micros_);
    }
}

// Guards against targets that run idle because sizes are declared too large.
TEST_CASE_FIXTURE(shares_fixture,
                  "estimates, usage below the declared size, reserve less")
{
    join_target("target-1", {4000, 8192, 0});
    for (int i = 0; i < 8; ++i)
    {
        auto const start = submit_and_start(
            make_request("order-" + std::to_string(i), {4000, 4096, 0}));
        post(usage_reported{start.task_, {1000, 1024, 0}});
        end(start, outcome::succeeded);
    }
    auto const start =
        submit_and_start(make_request("order-9", {4000, 4096, 0}));
    CHECK(start.reservation_ == resources(1150, 1177, 0));
}

// Guards against a target that is overcommitted by a rise of usage.
TEST_CASE_FIXTURE(shares_fixture,
                  "estimates, usage above the reservation, take free room only")
{
    join_target("target-1", {4000, 8192, 0});
    auto const start = submit_and_start(make_request("order-1"));
    post(usage_reported{start.task_, {6000, 512, 0}});
    post(job_submitted{make_request("order-2")});
    tick();
    CHECK(list<start_task>().empty());
}

// Guards against one rack that takes all replicas of a service with it.
TEST_CASE_FIXTURE(shares_fixture,
                  "service, two racks, spreads its replicas over both")
{
    for (int i = 0; i < 6; ++i)
    {
        post(target_joined{target_id("target-" + std::to_string(i)),
                           rack_id("rack-" + std::to_string(i / 3)),
                           {4000, 8192, 0},
                           8});
    }
    post(job_submitted{make_job("monitor", work_kind::service, 4)});
    tick();
    auto const starts = list<start_task>();
    REQUIRE(starts.size() == 4);
    CHECK(std::count_if(starts.begin(), starts.end(),
                        [](start_task const& start)
                        {
                            return start.target_ < target_id("target-3");
                        }) == 2);
}

} // namespace
} // namespace fescuevane::decide

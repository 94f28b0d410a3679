// Purpose: tests of claims to capacity within organisations' limits.
#include "plan_fixture.hpp"

#include "plan/load_summary.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

// The shard's allotment is enough for four tasks, the whole limit for eight.
struct claims_fixture : plan_fixture
{
    organisation_id const cafe_{"cafe"};
    resources const       part_{4000, 0, 0};
    resources const       limit_{8000, 0, 0};

    claims_fixture()
    {
        set_target("t-1", {64'000, 65'536, 0});
        post(organisations_set{{{cafe_, 100, part_}}});
        update_claim(false);
    }

    void update_claim(bool granted, resources const& withheld = {})
    {
        post(limit_claims_updated{{{cafe_, limit_, withheld, granted}}});
    }

    void add_gang(std::string const& id, std::uint32_t count)
    {
        step_spec const tasks = make_step(count);
        add_job(id, {{.count_ = count,
                      .demand_ = tasks.demand_,
                      .estimate_ms_ = 1000,
                      .gang_ = true}});
    }

    std::optional<limit_claim> reported_claim()
    {
        return summarize_load(*planner_).organisations_.at(0).claim_;
    }

    // Ticks every 100 ms for some time. Confirms starts and collects them.
    void run(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            advance(step);
            tick();
            for (start_run const& start : list<start_run>())
            {
                started_.push_back(start);
            }
            confirm_starts();
        }
    }

    std::size_t count_started(std::string const& job)
    {
        return static_cast<std::size_t>(
            std::count_if(started_.begin(), started_.end(),
                          [&job](start_run const& start)
                          {
                              return start.run_.stage_.job_ == job_id(job);
                          }));
    }

    std::vector<start_run> started_;
};

std::int64_t const long_wait_micros = 2'500'000;

// Guards against a gang that waits forever because no other shard knows of it,
// so that none gives up allotment for it.
TEST_CASE_FIXTURE(claims_fixture,
                  "gang above the part, waits long, its demand is claimed")
{
    add_gang("j-1", 6);
    run(micros_per_second);
    CHECK_FALSE(reported_claim().has_value());
    run(long_wait_micros);
    REQUIRE(reported_claim().has_value());
    CHECK(reported_claim()->demand_ == resources(6000, 3072, 0));
    CHECK(count_started("j-1") == 0);
    post(organisations_set{{{cafe_, 100, limit_}}});
    run(100'000);
    CHECK(count_started("j-1") == 6);
    CHECK_FALSE(reported_claim().has_value());
}

// Guards against single tasks that wait forever for long-running ones to end,
// which use the whole part, while other shards have the rest of the limit.
TEST_CASE_FIXTURE(claims_fixture,
                  "long-running tasks use the part, single task, claimed")
{
    add_job("j-1", {{.count_ = 4,
                     .demand_ = {1000, 512, 0},
                     .estimate_ms_ = 1000,
                     .perpetual_ = true}});
    run(micros_per_second);
    REQUIRE(count_started("j-1") == 4);
    add_job("j-2", {make_step(1)});
    run(micros_per_second);
    CHECK_FALSE(reported_claim().has_value());
    run(long_wait_micros);
    REQUIRE(reported_claim().has_value());
    CHECK(reported_claim()->demand_ == resources(1000, 512, 0));
    post(organisations_set{{{cafe_, 100, {5000, 0, 0}}}});
    run(100'000);
    CHECK(count_started("j-2") == 1);
    CHECK_FALSE(reported_claim().has_value());
}

// Guards against claims for tasks that start anyway when others end.
TEST_CASE_FIXTURE(claims_fixture,
                  "long-running tasks leave room in the part, claims nothing")
{
    add_job("j-1", {{.count_ = 3,
                     .demand_ = {1000, 512, 0},
                     .estimate_ms_ = 1000,
                     .perpetual_ = true}});
    add_job("j-2", {make_step(2)});
    run(2 * long_wait_micros);
    REQUIRE(count_started("j-2") == 1);
    CHECK_FALSE(reported_claim().has_value());
}

// Guards against shards that give up allotment for a gang that can't start
// anyway.
TEST_CASE_FIXTURE(claims_fixture, "gang above the whole limit, claims nothing")
{
    add_gang("j-1", 9);
    run(2 * long_wait_micros);
    CHECK_FALSE(reported_claim().has_value());
}

TEST_CASE_FIXTURE(claims_fixture,
                  "gang larger than the targets, claims nothing")
{
    set_target("t-1", {5000, 65'536, 0});
    add_gang("j-1", 6);
    run(2 * long_wait_micros);
    CHECK_FALSE(reported_claim().has_value());
}

// Guards against claims that move allotments between shards although the work
// only has to wait for other work of its own shard.
TEST_CASE_FIXTURE(claims_fixture, "single tasks fill the part, claim nothing")
{
    add_job("j-1", {make_step(20)});
    run(2 * long_wait_micros);
    CHECK(count_started("j-1") == 4);
    CHECK_FALSE(reported_claim().has_value());
}

TEST_CASE_FIXTURE(claims_fixture,
                  "single task larger than the part, is claimed")
{
    add_job("j-1",
            {{.count_ = 2, .demand_ = {5000, 512, 0}, .estimate_ms_ = 1000}});
    run(long_wait_micros);
    REQUIRE(reported_claim().has_value());
    CHECK(reported_claim()->demand_ == resources(5000, 512, 0));
}

// Guards against single tasks that take all capacity as it becomes free, before
// the gang can use it.
TEST_CASE_FIXTURE(claims_fixture,
                  "gang whose turn it is, singles end, room is left to it")
{
    add_job("j-1", {make_step(20)});
    run(100'000);
    add_gang("j-2", 3);
    run(long_wait_micros);
    REQUIRE(count_started("j-1") == 4);
    update_claim(true);
    run(100'000);
    std::vector<start_run> const singles = started_;
    end(singles[0], run_end::done);
    end(singles[1], run_end::done);
    run(100'000);
    CHECK(count_started("j-1") == 4);
    end(singles[2], run_end::done);
    run(100'000);
    CHECK(count_started("j-2") == 3);
    CHECK(count_started("j-1") == 4);
    // The claim has ended, so the next end of a run lets a single task start.
    end(singles[3], run_end::done);
    run(100'000);
    CHECK(count_started("j-1") == 5);
}

// Guards against an owner that can't give up allotment because its single tasks
// take all of it again.
TEST_CASE_FIXTURE(claims_fixture,
                  "claim of another shard, singles leave what it lacks")
{
    update_claim(false, {3000, 0, 0});
    add_job("j-1", {make_step(20)});
    run(micros_per_second);
    CHECK(count_started("j-1") == 1);
    update_claim(false);
    run(100'000);
    CHECK(count_started("j-1") == 4);
}

// Guards against a gang that can't start and blocks capacity forever.
TEST_CASE_FIXTURE(claims_fixture,
                  "gang whose turn passes, next claim is that of another one")
{
    add_gang("j-1", 6);
    run(100'000);
    add_gang("j-2", 5);
    run(long_wait_micros);
    REQUIRE(reported_claim().has_value());
    std::int64_t const since = reported_claim()->since_unix_ms_;
    CHECK(reported_claim()->demand_.cpu_millis() == 6000);
    update_claim(true);
    run(11 * micros_per_second);
    REQUIRE(reported_claim().has_value());
    CHECK(reported_claim()->demand_.cpu_millis() == 5000);
    // A later claim of the first gang is served after those made meanwhile.
    run(22 * micros_per_second);
    REQUIRE(reported_claim().has_value());
    CHECK(reported_claim()->demand_.cpu_millis() == 6000);
    CHECK(reported_claim()->since_unix_ms_ > since);
}

} // namespace
} // namespace fescuevane::plan

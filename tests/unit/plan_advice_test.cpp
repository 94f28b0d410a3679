// Purpose: tests of requests to the policy service.
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

// Two queues: replies for `orders` arrive fast, those for `checks` take long.
struct advice_fixture : plan_fixture
{
    advice_fixture()
    {
        post(queues_set{{{.id_ = queue_id("orders"),
                          .service_ = service_id("desk"),
                          .max_attempts_ = 3,
                          .slack_factor_ = 1.5,
                          .objective_ms_ = 250,
                          .advice_ = advice_policy{20, 0.3, 2000}},
                         {.id_ = queue_id("checks"),
                          .service_ = service_id("desk"),
                          .priority_ = 2,
                          .max_attempts_ = 3,
                          .slack_factor_ = 2,
                          .objective_ms_ = 1000,
                          .advice_ = advice_policy{400, 5, 2000}}}});
    }

    void add_check(std::string const& id, std::uint32_t tasks)
    {
        post(job_added{.job_ = std::make_shared<staged_job const>(
                           staged_job{.id_ = job_id(id),
                                      .organisation_ = organisation_id("cafe"),
                                      .queue_ = queue_id("checks"),
                                      .service_ = service_id("desk"),
                                      .payload_ = "work",
                                      .steps_ = {make_step(tasks)}}),
                       .accepted_at_ = now_});
    }
};

// Guards against urgent work that is delayed by pending long requests.
TEST_CASE_FIXTURE(advice_fixture,
                  "long questions in flight, urgent job comes, asked at once")
{
    for (int target = 0; target < 20; ++target)
    {
        set_target("t-" + std::to_string(10 + target));
    }
    for (int job = 0; job < 9; ++job)
    {
        add_check("c-" + std::to_string(job), 1);
    }
    tick();
    auto const asked = list<advice_request>();
    CHECK(asked.size() < 9);
    REQUIRE(!asked.empty());
    add_job("j-1", {make_step(1)});
    tick();
    auto const urgent = list<advice_request>();
    REQUIRE(urgent.size() == 1);
    CHECK(urgent[0].stage_.job_ == job_id("j-1"));
    SUBCASE("an answer comes, the next long question is asked")
    {
        post(advice_given{asked[0].stage_, asked[0].targets_, {}, now_});
        tick();
        CHECK(list<advice_request>().size() == 1);
    }
    SUBCASE("an asked job is canceled, the next long question is asked")
    {
        post(job_canceled{asked[0].stage_.job_});
        tick();
        CHECK(list<advice_request>().size() == 1);
    }
}

// Guards against tasks that wait for tickets beside free targets while most
// hosts of a large cell, which could query the policy service, are idle.
TEST_CASE_FIXTURE(
    advice_fixture,
    "limit of long requests raised, many stages wait, as many are "
    "asked about")
{
    constexpr std::uint32_t limit = 7;
    for (int target = 0; target < 20; ++target)
    {
        set_target("t-" + std::to_string(10 + target));
    }
    post(advice_limit_changed{limit});
    for (int job = 0; job < 9; ++job)
    {
        add_check("c-" + std::to_string(job), 1);
    }
    tick();
    CHECK(list<advice_request>().size() == limit);
}

// Guards against logs that don't tell a stage without a request from one whose
// reply is late.
TEST_CASE_FIXTURE(advice_fixture,
                  "long requests used up, stage waits, log says since when")
{
    for (int target = 0; target < 20; ++target)
    {
        set_target("t-" + std::to_string(10 + target));
    }
    for (int job = 0; job < 9; ++job)
    {
        add_check("c-" + std::to_string(job), 1);
    }
    tick();
    advance(4 * micros_per_second);
    tick();
    int without_request = 0;
    for (note const& one : list<note>())
    {
        bool const without =
            one.why_.find("no advice requested so far "
                          "(in flight: long 4 of 4, short 0 of 8)") !=
            std::string::npos;
        without_request += without ? 1 : 0;
    }
    CHECK(without_request == 5);
}

// Guards against tickets that expire unused and load the policy service while
// other stages could start. It happens when each waiting stage requests tickets
// for the same room.
TEST_CASE_FIXTURE(advice_fixture,
                  "room for one stage, several wait, one question is asked")
{
    set_target("t-1");
    for (int job = 0; job < 4; ++job)
    {
        add_check("c-" + std::to_string(job), 4);
    }
    tick();
    CHECK(list<advice_request>().size() == 1);
}

// Guards against a gang that lacks room and blocks the requests of other
// stages.
TEST_CASE_FIXTURE(advice_fixture,
                  "gang lacks room, other job fits, asked about the other")
{
    set_target("t-1");
    step_spec const gang{.count_ = 9,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true};
    add_job("j-1", {gang});
    tick();
    advance(100'000);
    add_job("j-2", {make_step(1)});
    tick();
    auto const asked = list<advice_request>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].stage_.job_ == job_id("j-2"));
}

// A gang with one task a target, of which too few are allowed.
struct forbidden_gang_fixture : advice_fixture
{
    forbidden_gang_fixture()
    {
        for (char const* const name : {"t-1", "t-2", "t-3"})
        {
            set_target(name);
        }
        add_job("j-1", {step_spec{.count_ = 3,
                                  .demand_ = {3000, 512, 0},
                                  .estimate_ms_ = 1000,
                                  .gang_ = true}});
        tick();
    }

    void allow(std::vector<target_ticket> tickets)
    {
        auto const asked = list<advice_request>();
        REQUIRE(asked.size() == 1);
        post(advice_given{asked[0].stage_, asked[0].targets_,
                          std::move(tickets),
                          now_.after(2 * micros_per_second)});
    }
};

// Guards against a gang that renews tickets which it can't use. Its requests
// load the policy service, and keep it off the list of overflow.
TEST_CASE_FIXTURE(forbidden_gang_fixture,
                  "gang, too few targets allowed, handed over and not asked")
{
    allow({{target_id("t-1"), "ticket"}, {target_id("t-2"), "ticket"}});
    tick();
    advance(3 * micros_per_second); // the tickets have expired
    tick();
    CHECK(list<advice_request>().empty());
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].blocked_);
}

// Guards against a gang that can't run on this shard but isn't handed over
// while a request for it is pending.
TEST_CASE_FIXTURE(forbidden_gang_fixture,
                  "gang, target drains while it is asked, told as blocked")
{
    REQUIRE(list<advice_request>().size() == 1);
    set_target("t-3", {4000, 8192, 0}, target_phase::draining);
    tick();
    advance(micros_per_second);
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].blocked_);
}

// Target `t-1` is free, `t-2` is full.
struct full_target_fixture : advice_fixture
{
    full_target_fixture()
    {
        set_target("t-1");
        set_target("t-2");
        add_job("j-1", {make_step(4)});
        tick();
        auto const asked = list<advice_request>();
        REQUIRE(asked.size() == 1);
        post(advice_given{asked[0].stage_,
                          asked[0].targets_,
                          {{target_id("t-2"), "ticket"}},
                          now_.after(2 * micros_per_second)});
        tick();
        REQUIRE(list<start_run>().size() == 4);
    }
};

// Guards against steps whose tickets are for targets that have become full. It
// happens when a request names only the targets with room, although one that
// names all takes no longer.
TEST_CASE_FIXTURE(full_target_fixture,
                  "room on one target, step waits, asked about the full one")
{
    add_check("c-1", 5);
    tick();
    auto const asked = list<advice_request>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].targets_ ==
          std::vector<target_id>{target_id("t-1"), target_id("t-2")});
}

// Guards against a gang that stays on a shard that can never run it. It happens
// when no advice is requested about full targets, so that they count as
// allowed.
TEST_CASE_FIXTURE(full_target_fixture,
                  "gang lacks room, full target not allowed, told as blocked")
{
    add_job("j-2", {step_spec{.count_ = 2,
                              .demand_ = {3000, 512, 0},
                              .estimate_ms_ = 1000,
                              .gang_ = true}});
    tick();
    auto const asked = list<advice_request>();
    REQUIRE(asked.size() == 1);
    post(advice_given{asked[0].stage_,
                      asked[0].targets_,
                      {{target_id("t-1"), "ticket"}},
                      now_.after(2 * micros_per_second)});
    tick();
    advance(micros_per_second);
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].blocked_);
}

// Guards against requests long before a stage can start. It happens when
// declared estimates are trusted although the predecessor's progress shows they
// are wrong.
TEST_CASE_FIXTURE(
    advice_fixture,
    "predecessor makes slow progress, next stage is not asked yet")
{
    set_target("t-1");
    step_spec const first{
        .count_ = 1, .demand_ = {1000, 512, 0}, .estimate_ms_ = 100};
    add_job("j-1", {first, make_step(1, {0})});
    tick();
    auto const asked = list<advice_request>();
    REQUIRE(asked.size() == 1);
    post(advice_given{asked[0].stage_,
                      asked[0].targets_,
                      {{target_id("t-1"), "ticket"}},
                      now_.after(micros_per_second)});
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 1);
    post(run_confirmed{starts[0].run_, starts[0].target_});
    tick(); // no progress so far shows that the estimate is too short
    for (advice_request const& early : list<advice_request>())
    {
        post(advice_failed{early.stage_});
    }
    advance(2 * micros_per_second);
    post(run_seen{starts[0].run_, starts[0].target_, "", 10, 0});
    tick();
    CHECK(list<advice_request>().empty()); // 18 s are left
    advance(16 * micros_per_second);
    post(run_seen{starts[0].run_, starts[0].target_, "", 98, 0});
    tick();
    CHECK(list<advice_request>().size() == 1);
}

} // namespace
} // namespace fescuevane::plan

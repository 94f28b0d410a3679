// Purpose: tests of where and when tasks start.
#include "core/job_progress.hpp"
#include "plan/image_row.hpp"
#include "plan/load_summary.hpp"
#include "plan/planner.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace fescuevane::plan
{
namespace
{

constexpr advice_policy desk_advice{20, 1, 2500};

// Guards against an overcommitted target after any mix of ends.
TEST_CASE("any jobs and ends, many ticks, no target above its capacity")
{
    CHECK(rc::check(
        []
        {
            plan_fixture plan;
            plan.set_target("t-1", {4000, 4096, 0});
            plan.set_target("t-2", {2000, 8192, 0});
            std::map<run_key, start_run> running;
            int                          next = 0;
            auto const                   steps = *rc::gen::inRange(1, 40);
            for (int round = 0; round < steps; ++round)
            {
                auto const cpu = *rc::gen::inRange(100, 2500);
                auto const count = *rc::gen::inRange(1, 6);
                plan.add_job(
                    "j-" + std::to_string(next++),
                    {step_spec{.count_ = static_cast<std::uint32_t>(count),
                               .demand_ = {cpu, 700, 0},
                               .estimate_ms_ = 500}});
                if (!running.empty() && *rc::gen::arbitrary<bool>())
                {
                    start_run const ended = running.begin()->second;
                    running.erase(running.begin());
                    plan.end(ended,
                             *rc::gen::element(run_end::done, run_end::lapsed));
                }
                plan.tick();
                for (start_run const& start : plan.list<start_run>())
                {
                    running.emplace(start.run_, start);
                }
                std::map<target_id, resources> used;
                for (auto const& [key, start] : running)
                {
                    resources& sum = used[start.target_];
                    sum = sum + start.job_->steps_[0].demand_;
                }
                RC_ASSERT(used[target_id("t-1")].fits_in({4000, 4096, 0}));
                RC_ASSERT(used[target_id("t-2")].fits_in({2000, 8192, 0}));
                plan.advance(10'000);
            }
        }));
}

// Guards against an organisation that exceeds its limit.
TEST_CASE_FIXTURE(plan_fixture, "organisation, at its limit, waits for an end")
{
    set_target("t-1", {64000, 65536, 0});
    post(organisations_set{{{.id_ = organisation_id("cafe"),
                             .weight_ = 100,
                             .limit_ = {2500, 0, 0}}}});
    add_job("j-1", {make_step(4)});
    tick();
    auto const starts = list<start_run>();
    CHECK(starts.size() == 2);
    end(starts[0], run_end::done);
    tick();
    CHECK(list<start_run>().size() == 1);
}

// Guards against a flood of jobs of one organisation that delays the others.
TEST_CASE_FIXTURE(plan_fixture,
                  "flood of one organisation, another submits, goes first")
{
    post(organisations_set{{{.id_ = organisation_id("cafe"), .weight_ = 1}}});
    set_target("t-1", {1000, 8192, 0});
    for (int job = 0; job < 20; ++job)
    {
        add_job("flood-" + std::to_string(job), {make_step(1)});
    }
    tick();
    auto const running = list<start_run>();
    staged_job other{.id_ = job_id("other"),
                     .organisation_ = organisation_id("bar"),
                     .queue_ = queue_id("orders"),
                     .service_ = service_id("desk"),
                     .steps_ = {make_step(1)}};
    post(job_added{.job_ = std::make_shared<staged_job const>(other),
                   .accepted_at_ = now_});
    for (int round = 0; round < 8; ++round)
    {
        advance(10 * micros_per_milli);
        for (start_run const& start : list<start_run>())
        {
            end(start, run_end::done);
        }
        tick();
        if (!list<start_run>().empty() &&
            list<start_run>()[0].run_.stage_.job_ == job_id("other"))
        {
            break;
        }
    }
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.stage_.job_ == job_id("other"));
}

// Tasks of one accelerator on a site where others need whole targets.
struct accelerator_fixture : plan_fixture
{
    accelerator_fixture()
    {
        for (char const* const name : {"t-1", "t-2", "t-3", "t-4"})
        {
            set_target(name, {32'000, 131'072, 8});
        }
    }

    static step_spec make_accelerator_step(std::uint32_t count,
                                           bool          filler = false)
    {
        return {.count_ = count,
                .demand_ = {2800, 11'000, 1},
                .estimate_ms_ = 2400,
                .filler_ = filler};
    }

    std::size_t count_started_targets() const
    {
        return static_cast<std::size_t>(
            std::count_if(planner_->targets_.begin(), planner_->targets_.end(),
                          [](target_row const& target)
                          {
                              return target.used_.accelerators() > 0;
                          }));
    }
};

// Guards against whole targets that never become free, because the faster of
// them were preferred to started ones with half of their accelerators in use.
TEST_CASE_FIXTURE(accelerator_fixture,
                  "tasks of one accelerator, faster targets idle, fill one")
{
    add_job("j-1", {make_accelerator_step(4)});
    tick();
    REQUIRE(count_started_targets() == 1);
    for (target_row& target : planner_->targets_)
    {
        target.speed_ = target.used_.accelerators() > 0 ? 1 : 1.3;
    }
    add_job("j-2", {make_accelerator_step(4)});
    tick();
    CHECK(list<start_run>().size() == 4);
    CHECK(count_started_targets() == 1);
}

// Guards against fillers that use one accelerator of each target. Fillers leave
// processors to others, but not the accelerators that they hold.
TEST_CASE_FIXTURE(accelerator_fixture,
                  "fillers of one accelerator, all targets idle, fill one")
{
    add_job("j-1", {make_accelerator_step(8, true)});
    tick();
    CHECK(list<start_run>().size() == 8);
    CHECK(count_started_targets() == 1);
}

// Guards against a gang that is started in part.
TEST_CASE_FIXTURE(plan_fixture, "gang, no room for all, none started")
{
    step_spec const gang{.count_ = 3,
                         .demand_ = {2000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true};
    set_target("t-1");
    add_job("j-1", {gang});
    tick();
    CHECK(list<start_run>().empty());
    set_target("t-2");
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].run_.run_ == starts[2].run_.run_);
}

// Guards against a gang that never moves to another shard: each failed attempt
// to place it reset the waiting time of its tasks.
TEST_CASE_FIXTURE(plan_fixture,
                  "gang without room, waits long, told as overflow")
{
    step_spec const gang{.count_ = 3,
                         .demand_ = {2000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true};
    set_target("t-1");
    add_job("j-1", {gang});
    for (int round = 0; round < 30; ++round)
    {
        tick();
        advance(100'000);
    }
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].indices_.size() == 3);
}

// Guards against a gang that is starved by a stream of small tasks, each of
// which takes the room that was just freed.
TEST_CASE_FIXTURE(plan_fixture,
                  "gang waits long, small tasks come, gang starts")
{
    step_spec const gang{.count_ = 4,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true};
    set_target("t-1");
    add_job("small-0", {make_step(4)});
    tick();
    std::vector<start_run> running = list<start_run>();
    std::size_t            ended = 0;
    add_job("j-1", {gang});
    bool started = false;
    for (int round = 1; round < 60 && !started; ++round)
    {
        add_job("small-" + std::to_string(round), {make_step(1)});
        advance(200'000);
        if (ended < running.size())
        {
            end(running[ended++], run_end::done);
        }
        tick();
        for (start_run const& start : list<start_run>())
        {
            running.push_back(start);
            started = started || start.run_.stage_.job_ == job_id("j-1");
        }
    }
    CHECK(started);
}

// Guards against a stage that stops requesting advice: tickets for targets at
// the spread limit were counted as usable.
TEST_CASE_FIXTURE(plan_fixture,
                  "spread limit, ticketed targets are full, asks for others")
{
    set_queue(desk_advice);
    for (char const* const name : {"t-1", "t-2", "t-3"})
    {
        set_target(name);
    }
    add_job("j-1", {step_spec{.count_ = 2,
                              .demand_ = {1000, 512, 0},
                              .estimate_ms_ = 1000,
                              .spread_limit_ = 1}});
    tick();
    REQUIRE(list<advice_request>().size() == 1);
    post(advice_given{{job_id("j-1"), 0, 0},
                      {target_id("t-1"), target_id("t-2")},
                      {{target_id("t-1"), "leave"}},
                      now_.after(2 * micros_per_second)});
    tick();
    CHECK(list<start_run>().size() == 1);
    REQUIRE(list<advice_request>().size() == 1);
    CHECK(list<advice_request>()[0].targets_ ==
          std::vector<target_id>{target_id("t-3")});
}

// Guards against starts without a ticket, or with one that has expired.
TEST_CASE_FIXTURE(plan_fixture, "ticket, expired before the start, asked again")
{
    set_queue(desk_advice);
    set_target("t-1");
    add_job("j-1", {make_step(1)});
    tick();
    post(advice_given{{job_id("j-1"), 0, 0},
                      {target_id("t-1")},
                      {{target_id("t-1"), "leave"}},
                      now_});
    tick();
    CHECK(list<start_run>().empty());
    CHECK(list<advice_request>().size() == 1);
}

// Guards against starts in a failure domain that operators took out of service,
// and on draining targets.
TEST_CASE_FIXTURE(plan_fixture, "domain out or target leaving, no start")
{
    SUBCASE("domain out")
    {
        set_target("t-1");
        post(domain_service_changed{false});
    }
    SUBCASE("target leaving")
    {
        set_target("t-1", {4000, 8192, 0}, target_phase::draining);
    }
    add_job("j-1", {make_step(1)});
    tick();
    CHECK(list<start_run>().empty());
}

// Guards against runs that are stopped as slow although only their first report
// was late.
TEST_CASE_FIXTURE(plan_fixture, "normal run, first report late, goes on")
{
    set_target("t-1", {64000, 65536, 0});
    for (int job = 0; job < 12; ++job)
    {
        add_job("learn-" + std::to_string(job), {make_step(1)});
    }
    tick();
    auto const learn = list<start_run>();
    confirm_starts();
    tick();
    advance(micros_per_second);
    for (start_run const& start : learn)
    {
        end(start, run_end::done);
    }
    add_job("j-1", {make_step(1)});
    tick();
    auto const start = list<start_run>();
    REQUIRE(start.size() == 1);
    confirm_starts();
    tick();
    advance(400'000);
    post(run_seen{start[0].run_, start[0].target_, "", 36});
    tick();
    advance(20'000);
    post(run_seen{start[0].run_, start[0].target_, "", 40});
    tick();
    CHECK(list<stop_run>().empty());
}

// Guards against hung targets that keep their runs forever.
TEST_CASE_FIXTURE(plan_fixture, "run without progress, long, moved elsewhere")
{
    set_target("t-1", {1000, 8192, 0});
    add_job("j-1", {make_step(1)});
    tick();
    auto const start = list<start_run>();
    confirm_starts();
    tick();
    set_target("t-2", {1000, 8192, 0});
    advance(3 * micros_per_second);
    post(run_seen{start[0].run_, start[0].target_, "", 0});
    tick();
    REQUIRE(list<stop_run>().size() == 1);
    end(start[0], run_end::stopped);
    tick();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].target_ == target_id("t-2"));
}

// Guards against tasks that are started by two shards.
TEST_CASE_FIXTURE(plan_fixture, "delegated tasks, room comes up, not started")
{
    add_job("j-1", {make_step(2)});
    tick();
    advance(5 * micros_per_second);
    tick();
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    job_id const elsewhere("j-1~1-1");
    auto const   job = make_delegate(*planner_, waiting[0], elsewhere);
    REQUIRE(job->alias_);
    CHECK(job->alias_->stage_ == stage_key{job_id("j-1"), 0, 0});
    post(tasks_delegated{waiting[0].stage_, waiting[0].indices_, elsewhere});
    set_target("t-1");
    tick();
    CHECK(list<start_run>().empty());
    CHECK(write_progress(*planner_, job_id("j-1")).tasks_.size() == 2);
    SUBCASE("they end as done")
    {
        post(
            delegate_ended{waiting[0].stage_, elsewhere, job_phase::completed});
        tick();
        CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
    }
    SUBCASE("they come back")
    {
        post(delegate_ended{waiting[0].stage_, elsewhere, job_phase::canceled});
        tick();
        CHECK(list<start_run>().empty());
        CHECK(write_progress(*planner_, job_id("j-1")).tasks_.empty());
        post(delegate_end_stored{waiting[0].stage_, elsewhere});
        tick();
        CHECK(list<start_run>().size() == 2);
    }
}

// Guards against tasks in two runs: they started here or moved again before the
// return was stored, and the next owner found them still delegated.
TEST_CASE_FIXTURE(plan_fixture,
                  "delegated tasks returned, end isn't stored, not moved again")
{
    add_job("j-1", {make_step(2)});
    stage_key const stage{job_id("j-1"), 0, 0};
    job_id const    elsewhere("j-1~1-1");
    tick();
    post(tasks_delegated{stage, {0, 1}, elsewhere});
    tick();
    post(delegate_ended{stage, elsewhere, job_phase::canceled});
    tick();
    advance(20 * micros_per_second);
    tick();
    CHECK(list_overflow(*planner_, now_, micros_per_second).empty());
    CHECK(!find_waiting(*planner_, stage));
    post(delegate_end_stored{stage, elsewhere});
    tick();
    CHECK(list_overflow(*planner_, now_, micros_per_second).size() == 1);
    CHECK(find_waiting(*planner_, stage));
}

// A gang of four tasks that runs in two other shards.
struct spread_gang_fixture : plan_fixture
{
    stage_key const             stage_{job_id("j-1"), 0, 0};
    std::array<job_id, 2> const parts_ = {job_id("j-1~1-1"), job_id("j-1~1-2")};

    spread_gang_fixture()
    {
        add_job("j-1", {{.count_ = 4,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true}});
        tick();
        post(tasks_delegated{stage_, {0, 1}, parts_[0], 1});
        post(tasks_delegated{stage_, {2, 3}, parts_[1], 1});
        set_target("t-1");
        tick();
        REQUIRE(list<start_run>().empty());
    }
};

// Guards against a gang in two runs: it started here before the end of each of
// its parts was stored, and the next owner found a part still delegated.
TEST_CASE_FIXTURE(spread_gang_fixture,
                  "parts of a gang ended, one end isn't stored, gang waits")
{
    job_phase phase = job_phase::canceled;
    SUBCASE("both returned") {}
    SUBCASE("one failed")
    {
        phase = job_phase::failed;
    }
    post(delegate_ended{stage_, parts_[0], phase});
    post(delegate_ended{stage_, parts_[1], job_phase::canceled});
    tick();
    CHECK(list<start_run>().empty());
    CHECK(!find_waiting(*planner_, stage_));
    post(delegate_end_stored{stage_, parts_[0]});
    tick();
    CHECK(list<start_run>().empty());
    CHECK(!find_waiting(*planner_, stage_));
    post(delegate_end_stored{stage_, parts_[1]});
    tick();
    REQUIRE(list<start_run>().size() == 4);
    CHECK(list<start_run>()[0].run_.run_ == 2);
}

// Guards against a gang whose parts found no room, and which isn't offered
// again for as long as a new one. On a site with accelerators a gang of three
// tasks waited for 3.7 s more beside free whole targets of other shards.
TEST_CASE_FIXTURE(spread_gang_fixture,
                  "parts of a gang withdrawn, waits again, offered at once")
{
    add_job("other", {make_step(4)}); // fills the target
    tick();
    set_queue(advice_policy{500, 5, 2000});
    for (job_id const& part : parts_)
    {
        post(delegate_ended{stage_, part, job_phase::canceled});
        post(delegate_end_stored{stage_, part});
    }
    tick();
    REQUIRE(list<advice_request>().size() == 1);
    advice_request const asked = list<advice_request>()[0];
    post(advice_given{asked.stage_,
                      asked.targets_,
                      {{target_id("t-1"), "ticket"}},
                      now_.after(2 * micros_per_second)});
    advance(micros_per_second);
    tick();
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].stage_ == stage_);
    CHECK(!waiting[0].blocked_);
}

// Guards against an idle shard: its targets were reserved forever for a gang
// that could not start.
TEST_CASE_FIXTURE(plan_fixture,
                  "gang can't start, room is kept, others start after a while")
{
    set_queue(advice_policy{20, 0.3, 2000});
    set_target("t-1");
    step_spec const gang{.count_ = 4,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true};
    add_job("j-1", {gang});
    bool started = false;
    for (int round = 0; round < 120; ++round)
    {
        if (round == 40)
        {
            add_job("j-2", {make_step(1)});
        }
        tick();
        for (advice_request const& asked : list<advice_request>())
        {
            // The gang's advice requests get no reply.
            if (asked.stage_.job_ == job_id("j-1"))
            {
                post(advice_failed{asked.stage_});
                continue;
            }
            post(advice_given{asked.stage_,
                              asked.targets_,
                              {{target_id("t-1"), "ticket"}},
                              now_.after(2 * micros_per_second)});
        }
        started = started || !list<start_run>().empty();
        advance(100'000);
    }
    CHECK(started);
}

// Guards against work that is discarded repeatedly: a task longer than the
// others of its stage counted as one on a slow target, wherever it ran.
TEST_CASE_FIXTURE(plan_fixture, "task slow on two targets, moved once")
{
    for (char const* const target : {"t-1", "t-2", "t-3"})
    {
        set_target(target);
    }
    add_job("j-1", {make_step(4)});
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 4);
    confirm_starts();
    tick();
    advance(micros_per_second);
    for (std::size_t task = 1; task < 4; ++task)
    {
        end(starts[task], run_end::done);
    }
    tick();
    std::size_t moves = 0;
    start_run   current = starts[0];
    for (int round = 0; round < 40; ++round)
    {
        advance(500'000);
        post(run_seen{current.run_, current.target_, "", 5 + round, 0});
        tick();
        if (!list<stop_run>().empty())
        {
            ++moves;
            post(
                run_ended{current.run_, current.target_, run_end::stopped, ""});
            tick();
            REQUIRE(list<start_run>().size() == 1);
            post(run_confirmed{list<start_run>()[0].run_,
                               list<start_run>()[0].target_});
        }
        for (start_run const& start : list<start_run>())
        {
            std::destroy_at(&current);
            std::construct_at(&current, start);
        }
    }
    CHECK(moves == 1);
}

// Guards against a gang that waits forever on a shard where long-running tasks
// use the room that it needs.
TEST_CASE_FIXTURE(
    plan_fixture,
    "gang beside lasting tasks, room never comes, told as blocked")
{
    set_target("t-1");
    step_spec const lasting{
        .count_ = 2, .demand_ = {1000, 512, 0}, .perpetual_ = true};
    step_spec const gang{.count_ = 3,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .gang_ = true};
    add_job("j-1", {lasting});
    tick();
    add_job("j-2", {gang});
    add_job("j-3", {make_step(2)});
    tick();
    add_job("j-4", {make_step(1)});
    for (int round = 0; round < 30; ++round)
    {
        tick();
        advance(100'000);
    }
    auto const waiting = list_overflow(*planner_, now_, micros_per_second);
    REQUIRE(waiting.size() == 2);
    for (overflow const& tasks : waiting)
    {
        CHECK(tasks.blocked_ == (tasks.stage_.job_ == job_id("j-2")));
    }
}

// Guards against a late-reported failure that counts on the shard that had the
// task instead of the one that has it: the begin and the end of a round of
// offers applied different conditions.
TEST_CASE_FIXTURE(plan_fixture,
                  "task with copies taken over, ends unread, not handed over")
{
    set_target("t-1");
    set_target("t-2", {4000, 8192, 0}, target_phase::lapsed);
    step_spec const step{.demand_ = {8000, 512, 0}, // too large for both
                         .estimate_ms_ = 1000,
                         .speculative_ = true};
    add_job("j-1", {step}, {}, true);
    tick();
    advance(2 * micros_per_second);
    tick();
    stage_key const stage{job_id("j-1"), 0, 0};
    CHECK(list_overflow(*planner_, now_, micros_per_second).empty());
    CHECK_FALSE(find_waiting(*planner_, stage));
    set_target("t-2", {4000, 8192, 0}, target_phase::silent);
    tick();
    CHECK(list_overflow(*planner_, now_, micros_per_second).size() == 1);
    CHECK(find_waiting(*planner_, stage));
}

// Guards against an organisation above its limit after a change of owner: runs
// on targets that weren't reached yet were not counted.
TEST_CASE_FIXTURE(plan_fixture,
                  "target not reached yet, limit counts what may run there")
{
    post(organisations_set{{{organisation_id("cafe"), 1, {4000, 0, 0}}}});
    set_target("t-1");
    set_target("t-2", {4000, 8192, 0}, target_phase::attaching);
    add_job("j-1", {make_step(3)}, {}, true);
    add_job("j-2", {make_step(4)});
    tick();
    CHECK(list<start_run>().size() == 1);
    set_target("t-2");
    tick();
    CHECK(list<start_run>().size() == 3);
}

// A target that was reached and may be stopping runs of a former owner for 0.9
// s from now on, and a recovered job.
struct former_stops_fixture : plan_fixture
{
    static constexpr std::int64_t stop_micros = 900'000;

    former_stops_fixture()
    {
        post(target_set{.id_ = target_id("t-1"),
                        .service_ = service_id("desk"),
                        .rack_ = rack_id("rack-1"),
                        .capacity_ = {4000, 8192, 0},
                        .phase_ = target_phase::usable,
                        .stops_until_ = now_.after(stop_micros)});
    }
};

// Guards against tasks that run twice: a run that a former owner is stopping is
// listed nowhere, and its task starts again.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "target may be stopping runs, recovered task starts when "
                  "they are over")
{
    add_job("j-1", {make_step(1)}, {}, true);
    tick();
    CHECK(list<start_run>().empty());
    CHECK(next_deadline(*planner_) <= now_.after(stop_micros));
    CHECK_FALSE(find_waiting(*planner_, {job_id("j-1"), 0, 0}));
    now_ = now_.after(stop_micros);
    tick();
    CHECK(list<start_run>().size() == 1);
}

// Guards against a needless gap in the work of callers.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "target may be stopping runs, new task starts at once")
{
    add_job("j-1", {make_step(1)});
    tick();
    CHECK(list<start_run>().size() == 1);
}

// Guards against an organisation above its limit after a change of owner: runs
// that are being stopped were not counted.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "target may be stopping runs, limit counts them")
{
    post(organisations_set{{{organisation_id("cafe"), 1, {4000, 0, 0}}}});
    set_target("t-2");
    add_job("j-1", {make_step(3)}, {}, true);
    add_job("j-2", {make_step(4)});
    tick();
    CHECK(list<start_run>().size() == 1);
    now_ = now_.after(stop_micros);
    tick();
    CHECK(list<start_run>().size() == 3);
}

// Guards against fillers that keep a task on the same target above its latency
// bound.
TEST_CASE_FIXTURE(plan_fixture, "filler beside a slow serving task, paced down")
{
    set_target("t-1");
    step_spec const serving{.count_ = 1,
                            .demand_ = {1000, 512, 0},
                            .perpetual_ = true,
                            .latency_target_ms_ = 50};
    step_spec const filler{.count_ = 1,
                           .demand_ = {1000, 512, 0},
                           .estimate_ms_ = 9000,
                           .filler_ = true};
    add_job("j-1", {serving});
    add_job("j-2", {filler});
    tick();
    auto const starts = list<start_run>();
    REQUIRE(starts.size() == 2);
    confirm_starts();
    tick();
    for (start_run const& start : starts)
    {
        post(run_seen{start.run_, start.target_, "", 100, 80});
    }
    tick();
    REQUIRE(list<pace_run>().size() == 1);
    CHECK(list<pace_run>()[0].percent_ < 50);
    CHECK(list<pace_run>()[0].run_.stage_.job_ == job_id("j-2"));
}

// Guards against estimates that follow declarations without any correlation to
// the run time.
TEST_CASE("run times, declarations tell nothing, prediction near the mean")
{
    image_row row;
    for (int sample = 0; sample < 200; ++sample)
    {
        double const declared = 100 * std::pow(10, sample % 3);
        learn_sample(row, declared, 1000);
    }
    CHECK(predict_ms(row, 100) == doctest::Approx(1000).epsilon(0.2));
    CHECK(predict_ms(row, 10000) == doctest::Approx(1000).epsilon(0.2));
}

} // namespace
} // namespace fescuevane::plan

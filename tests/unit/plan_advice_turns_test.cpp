// Purpose: tests of requests to the policy service for stages that other work
// outranks.
#include "core/task_alias.hpp"
#include "plan/answer_offer.hpp"
#include "plan/job_offered.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

namespace fescuevane::plan
{
namespace
{

constexpr std::int64_t  tick_micros = 100'000;
constexpr std::int64_t  reply_micros = 600'000; // of the policy service
constexpr std::int64_t  run_micros = 1'000'000; // of all tasks
constexpr std::uint32_t targets = 40;
constexpr std::uint32_t allowed_every = 2; // targets for one allowed target
constexpr std::uint32_t wide_tasks = 24;

// A shard with room, whose newer stages need more requests to the policy
// service than may be in flight.
struct advice_turns_fixture : plan_fixture
{
    struct pending_request
    {
        advice_request asked_;
        instant        answer_at_;
    };

    struct pending_end
    {
        start_run started_;
        instant   end_at_;
    };

    std::vector<pending_request>        requests_;
    std::vector<pending_end>            runs_;
    std::map<job_id, instant>           asked_at_; // first request
    std::map<job_id, std::set<run_key>> started_;
    std::vector<answer_offer>           offers_;
    std::size_t                         new_requests_ = 0; // for newer stages
    std::size_t                         old_requests_ = 0;
    std::uint32_t                       next_job_ = 0;
    bool                                adds_jobs_ = true;

    advice_turns_fixture()
    {
        advance(100 * micros_per_second);
        post(queues_set{{{.id_ = queue_id("checks"),
                          .service_ = service_id("desk"),
                          .priority_ = 2,
                          .max_attempts_ = 3,
                          .slack_factor_ = 2,
                          .objective_ms_ = 1000,
                          .advice_ = advice_policy{420, 6, 2000}}}});
        for (std::uint32_t target = 0; target < targets; ++target)
        {
            set_target("t-" + std::to_string(100 + target),
                       {16'000, 65'536, 0});
        }
        play(5 * micros_per_second);
    }

    static staged_job describe(std::string const& id, step_spec const& step,
                               std::optional<task_alias> alias = {})
    {
        return {.id_ = job_id(id),
                .organisation_ = organisation_id("cafe"),
                .queue_ = queue_id("checks"),
                .service_ = service_id("desk"),
                .payload_ = "work",
                .steps_ = {step},
                .alias_ = std::move(alias)};
    }

    static step_spec make_wide_step(bool gang, std::uint32_t count = wide_tasks)
    {
        return {.count_ = count,
                .demand_ = {4950, 34'000, 0},
                .estimate_ms_ = 1000,
                .gang_ = gang};
    }

    // Adds a job that was accepted so long ago that it has no value left.
    void add_late(std::string const& id, step_spec const& step,
                  std::int64_t age_micros = 60 * micros_per_second)
    {
        post(job_added{
            .job_ = std::make_shared<staged_job const>(describe(id, step)),
            .accepted_at_ = now_.after(-age_micros)});
    }

    void add_new()
    {
        step_spec const step{
            .count_ = 10, .demand_ = {1000, 1000, 0}, .estimate_ms_ = 1000};
        post(job_added{.job_ = std::make_shared<staged_job const>(describe(
                           "new-" + std::to_string(next_job_++), step)),
                       .accepted_at_ = now_});
    }

    static bool is_new(job_id const& job)
    {
        return job.str().starts_with("new-");
    }

    // The policy service allows each job every second target.
    static bool is_allowed(target_id const& target)
    {
        return std::stoul(target.str().substr(2)) % allowed_every == 0;
    }

    void send_replies()
    {
        std::vector<pending_request> rest;
        for (pending_request const& open : requests_)
        {
            if (open.answer_at_ > now_)
            {
                rest.push_back(open);
                continue;
            }
            std::vector<target_ticket> good;
            for (target_id const& target : open.asked_.targets_)
            {
                if (is_allowed(target))
                {
                    good.push_back({target, "ticket"});
                }
            }
            post(advice_given{
                open.asked_.stage_, open.asked_.targets_, good,
                now_.after(open.asked_.validity_ms_ * micros_per_milli)});
        }
        requests_.swap(rest);
    }

    void end_runs()
    {
        std::vector<pending_end> rest;
        for (pending_end const& run : runs_)
        {
            if (run.end_at_ <= now_)
            {
                end(run.started_, run_end::done);
            }
            else
            {
                rest.push_back(run);
            }
        }
        runs_.swap(rest);
    }

    void take_commands()
    {
        for (start_run const& start : list<start_run>())
        {
            started_[start.run_.stage_.job_].insert(start.run_);
            runs_.push_back({start, now_.after(run_micros)});
        }
        for (advice_request const& asked : list<advice_request>())
        {
            job_id const& job = asked.stage_.job_;
            asked_at_.emplace(job, now_);
            ++(is_new(job) ? new_requests_ : old_requests_);
            requests_.push_back({asked, now_.after(reply_micros)});
        }
        for (answer_offer const& offer : list<answer_offer>())
        {
            offers_.push_back(offer);
        }
    }

    // Advances the time while ten new jobs are added in each second.
    void play(std::int64_t micros)
    {
        for (instant const until = now_.after(micros); now_ < until;)
        {
            send_replies();
            end_runs();
            if (adds_jobs_)
            {
                add_new();
            }
            tick();
            confirm_starts();
            take_commands();
            advance(tick_micros);
        }
    }

    std::size_t count_started(std::string const& job)
    {
        return started_[job_id(job)].size();
    }
};

// Guards against an accepted step that never starts beside free targets: newer
// steps, which rank higher, used up all requests to the policy service.
TEST_CASE_FIXTURE(advice_turns_fixture,
                  "late step, newer steps use up all requests, starts in 10 s")
{
    add_late("old", make_wide_step(false));
    play(10 * micros_per_second);
    CHECK(count_started("old") > 0);
    play(20 * micros_per_second);
    CHECK(count_started("old") >= wide_tasks);
}

// Guards against a gang that never learns which targets it may use.
TEST_CASE_FIXTURE(advice_turns_fixture,
                  "late gang, newer steps use up all requests, starts in 20 s")
{
    constexpr std::uint32_t tasks = 12;
    add_late("old", make_wide_step(true, tasks));
    play(20 * micros_per_second);
    CHECK(count_started("old") == tasks);
}

// Guards against late steps that wait the longer the more work arrives after
// them, as after a restart of all hosts.
TEST_CASE_FIXTURE(
    advice_turns_fixture,
    "thirty late steps, newer steps use up all requests, each is asked about")
{
    constexpr int late = 30;
    for (int job = 0; job < late; ++job)
    {
        add_late("old-" + std::to_string(10 + job), make_wide_step(false, 2));
    }
    // A reply takes 0.6 s, and one request in four is for a late step.
    play(25 * micros_per_second);
    std::size_t asked = 0;
    for (auto const& [job, at] : asked_at_)
    {
        asked += is_new(job) ? 0 : 1;
    }
    CHECK(asked == late);
}

// Guards against late steps that keep the policy service from newer ones, which
// can still meet their objective.
TEST_CASE_FIXTURE(advice_turns_fixture,
                  "many late steps, newer steps get most of the requests")
{
    for (int job = 0; job < 60; ++job)
    {
        add_late("old-" + std::to_string(100 + job), make_wide_step(false));
    }
    new_requests_ = 0;
    old_requests_ = 0;
    play(20 * micros_per_second);
    CHECK(old_requests_ > 0);
    CHECK(new_requests_ >= 2 * old_requests_);
}

// Guards against a gang that no shard is known to have room for, since its
// offer was ranked behind all work of the shard and answered without advice.
TEST_CASE_FIXTURE(
    advice_turns_fixture,
    "late gang is offered, newer steps use up all requests, room is reported")
{
    task_alias alias{.stage_ = {job_id("old"), 0, 0}};
    for (std::uint32_t index = 0; index < wide_tasks; ++index)
    {
        alias.indices_.push_back(index);
        alias.failures_.push_back(0);
        alias.checkpoints_.emplace_back();
    }
    post(job_offered{.job_ = std::make_shared<staged_job const>(describe(
                         "old~offer", make_wide_step(true), std::move(alias))),
                     .accepted_at_ = now_.after(-60 * micros_per_second),
                     .answer_by_ = now_.after(2'500'000)});
    play(3 * micros_per_second);
    REQUIRE(offers_.size() == 1);
    CHECK(offers_[0].fit_later_ > 0);
}

} // namespace
} // namespace fescuevane::plan

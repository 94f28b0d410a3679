// Purpose: tests of room that is held for tasks that last until they have a
// ticket.
#include "plan/planner.hpp"
#include "plan_random_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace fescuevane::plan
{
namespace
{

constexpr std::int64_t tick_micros = 100'000;
constexpr std::int64_t answer_micros = 600'000; // of the policy service
constexpr std::int64_t down_micros = 5'000'000; // most for a lasting task

// Four targets of which the policy service allows one for the lasting task.
// Short jobs of another queue take each bit of room that comes free.
struct crowded_fixture : plan_fixture
{
    struct question
    {
        advice_request asked_;
        instant        answer_at_;
    };

    struct short_run
    {
        start_run started_;
        instant   end_at_;
    };

    std::set<target_id>    allowed_ = {target_id("t-1")};
    std::vector<question>  questions_;
    std::vector<short_run> runs_;
    std::vector<start_run> lasting_; // starts of the lasting task
    std::uint32_t          next_job_ = 0;
    std::uint32_t          asked_ = 0;
    std::int64_t           short_micros_ = 3'000'000;

    crowded_fixture()
    {
        set_priority(2);
        for (char const* const name : {"t-1", "t-2", "t-3", "t-4"})
        {
            set_target(name);
        }
    }

    // Of the short jobs; that of the lasting ones is 2, lower goes first.
    void set_priority(std::int32_t priority)
    {
        post(queues_set{{{.id_ = queue_id("orders"),
                          .service_ = service_id("desk"),
                          .priority_ = priority,
                          .max_attempts_ = 3,
                          .slack_factor_ = 1.5,
                          .objective_ms_ = 250},
                         {.id_ = queue_id("feeds"),
                          .service_ = service_id("desk"),
                          .priority_ = 2,
                          .max_attempts_ = 3,
                          .slack_factor_ = 2,
                          .objective_ms_ = 1000,
                          .advice_ = advice_policy{580, 5, 2000}}}});
    }

    void add_lasting(std::string const& id, std::uint32_t count = 1,
                     resources const& demand = {2000, 512, 0})
    {
        post(job_added{.job_ = std::make_shared<staged_job const>(
                           staged_job{.id_ = job_id(id),
                                      .organisation_ = organisation_id("bank"),
                                      .queue_ = queue_id("feeds"),
                                      .service_ = service_id("desk"),
                                      .payload_ = "work",
                                      .steps_ = {{.count_ = count,
                                                  .demand_ = demand,
                                                  .estimate_ms_ = 1000,
                                                  .perpetual_ = true}}}),
                       .accepted_at_ = now_});
    }

    void add_short()
    {
        add_job("s-" + std::to_string(next_job_++), {make_step(8)});
    }

    void answer_questions()
    {
        for (question const& open : questions_)
        {
            if (open.answer_at_ > now_)
            {
                continue;
            }
            std::vector<target_ticket> good;
            for (target_id const& target : open.asked_.targets_)
            {
                if (allowed_.contains(target))
                {
                    good.push_back({target, "ticket"});
                }
            }
            post(advice_given{
                open.asked_.stage_, open.asked_.targets_, good,
                now_.after(open.asked_.validity_ms_ * micros_per_milli)});
        }
        std::vector<question> rest;
        for (question const& open : questions_)
        {
            if (open.answer_at_ > now_)
            {
                rest.push_back(open);
            }
        }
        questions_.swap(rest);
    }

    void end_short_runs()
    {
        std::vector<short_run> rest;
        for (short_run const& run : runs_)
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

    // Lets time pass; two short jobs wait at any time.
    void play(std::int64_t micros, bool crowded = true)
    {
        for (instant const until = now_.after(micros); now_ < until;)
        {
            answer_questions();
            end_short_runs();
            if (crowded && count_waiting_short() < 16)
            {
                add_short();
            }
            tick();
            confirm_starts();
            for (start_run const& start : list<start_run>())
            {
                if (start.job_->steps_[0].perpetual_)
                {
                    lasting_.push_back(start);
                }
                else
                {
                    // Ends are spread, as on a busy shard.
                    std::int64_t const spread =
                        static_cast<std::int64_t>(start.run_.index_ % 4) * 4 *
                        tick_micros;
                    runs_.push_back(
                        {start, now_.after(short_micros_ + spread)});
                }
            }
            for (advice_request const& asked : list<advice_request>())
            {
                ++asked_;
                questions_.push_back({asked, now_.after(answer_micros)});
            }
            advance(tick_micros);
        }
    }

    // Short tasks that wait.
    std::size_t count_waiting_short() const
    {
        std::size_t waiting = 0;
        for (stage_row const& stage : planner_->stages_)
        {
            if (!stage.spec_->steps_[0].perpetual_)
            {
                waiting += static_cast<std::size_t>(count_waiting(stage));
            }
        }
        return waiting;
    }

    // The lasting task runs while its targets fill up, and then ends.
    void fail_lasting(std::int64_t crowded_micros = 3 * micros_per_second)
    {
        add_lasting("l-1");
        play(2 * micros_per_second, false);
        REQUIRE(lasting_.size() == 1);
        play(crowded_micros);
        end(lasting_[0], run_end::failed);
        lasting_.clear();
    }
};

// A shard whose short runs are at another point of their time.
struct phase_fixture
{
    std::int32_t priority_ = 2; // of the short jobs
    std::size_t  allowed_ = 1;  // targets

    void check_phases() const
    {
        for (std::int64_t phase = 0; phase < 16; ++phase)
        {
            CAPTURE(phase);
            crowded_fixture shard;
            shard.set_priority(priority_);
            for (std::size_t target = 1; target < allowed_; ++target)
            {
                shard.allowed_.insert(
                    target_id("t-" + std::to_string(target + 1)));
            }
            shard.fail_lasting(micros_per_second + 2 * phase * tick_micros);
            shard.play(down_micros);
            REQUIRE(shard.lasting_.size() == 1);
            CHECK(shard.allowed_.contains(shard.lasting_[0].target_));
        }
    }
};

// Guards against a lasting task that is down for as long as its shard is busy:
// it asked for a ticket once there was room, and other work had taken the room
// when the answer came. One was down for 15 s.
TEST_CASE_FIXTURE(phase_fixture,
                  "lasting run ends, shard is busy, runs again in time")
{
    check_phases();
}

// Guards against a lasting task that is down while better-ranked work takes
// each bit of room on the targets that it may use.
TEST_CASE_FIXTURE(
    phase_fixture,
    "lasting run ends, shard has better-ranked work, runs again in time")
{
    priority_ = 0;
    check_phases();
}

// Guards against a hold that is moved from target to target, and never full.
TEST_CASE_FIXTURE(phase_fixture,
                  "lasting run ends, two targets allowed, runs again in time")
{
    allowed_ = 2;
    check_phases();
}

// Guards against a lasting task that stays in a shard that doesn't get it to
// run: it was left out while a question about it was in flight.
TEST_CASE_FIXTURE(crowded_fixture,
                  "lasting task down, question in flight, offered to others")
{
    allowed_.insert(target_id("t-2"));
    short_micros_ = 30 * micros_per_second; // nothing ends in time
    add_lasting("l-1");
    play(2 * micros_per_second, false);
    REQUIRE(lasting_.size() == 1);
    play(3 * micros_per_second);
    // The other target is full of short work.
    set_target(lasting_[0].target_.str(), {4000, 8192, 0},
               target_phase::draining);
    end(lasting_[0], run_end::failed);
    lasting_.clear();
    play(4 * micros_per_second + 2 * tick_micros);
    REQUIRE(lasting_.empty());
    auto const waiting = list_overflow(*planner_, now_, 600'000);
    CHECK(std::any_of(waiting.begin(), waiting.end(),
                      [](overflow const& tasks)
                      {
                          return tasks.stage_.job_ == job_id("l-1") &&
                                 tasks.blocked_;
                      }));
}

// Twelve targets, all allowed and full of other work.
struct flooded_fixture : crowded_fixture
{
    flooded_fixture()
    {
        for (int target = 5; target <= 12; ++target)
        {
            set_target("t-" + std::to_string(target));
        }
        for (int target = 1; target <= 12; ++target)
        {
            allowed_.insert(target_id("t-" + std::to_string(target)));
        }
    }

    // Starts lasting tasks on every target and ends them all.
    void fail_all(std::uint32_t tasks)
    {
        add_lasting("l-1", tasks, {1000, 512, 0});
        play(2 * micros_per_second, false);
        REQUIRE(lasting_.size() == tasks);
        for (start_run const& start : lasting_)
        {
            end(start, run_end::failed);
        }
        lasting_.clear();
        // The tickets have expired.
        advance(3 * micros_per_second);
        play(tick_micros, false);
    }

    std::size_t count_held_targets() const
    {
        return static_cast<std::size_t>(
            std::count_if(planner_->targets_.begin(), planner_->targets_.end(),
                          [](target_row const& target)
                          {
                              return !target.held_.is_zero();
                          }));
    }
};

// Guards against lasting tasks that keep the whole shard idle while they wait
// for tickets.
TEST_CASE_FIXTURE(flooded_fixture,
                  "flood of lasting tasks down, most targets take other work")
{
    fail_all(40);
    // Not more than an eighth of 48 cores, 1 core each.
    CHECK(planner_->holds_.size() == 6);
    CHECK(count_held_targets() == 6);
    for (int job = 0; job < 8; ++job)
    {
        add_short();
    }
    tick();
    CHECK(list<start_run>().size() == 42); // of 48, six are held
}

// Guards against urgent work that waits behind a lasting task which has only
// just ended; later the lasting task goes first, as it would wait without end.
TEST_CASE_FIXTURE(flooded_fixture,
                  "room is held, better-ranked work comes, hold binds it later")
{
    set_priority(0);
    std::size_t  starts = 48;
    std::int64_t down = 0;
    SUBCASE("task has just ended") {}
    SUBCASE("task has been down for 3 s")
    {
        down = 3 * micros_per_second;
        starts = 47;
    }
    fail_all(1);
    advance(down);
    for (int job = 0; job < 8; ++job)
    {
        add_short();
    }
    tick();
    CHECK(list<start_run>().size() == starts);
}

// Guards against room that stays held for tasks that need it no more.
TEST_CASE_FIXTURE(flooded_fixture, "holder needs no room, holds are released")
{
    fail_all(2);
    REQUIRE(planner_->holds_.size() == 2);
    SUBCASE("the job is canceled")
    {
        post(job_canceled{job_id("l-1")});
        tick();
    }
    SUBCASE("the tasks start")
    {
        play(micros_per_second, false);
        REQUIRE(lasting_.size() == 2);
    }
    SUBCASE("the tasks are handed to another shard")
    {
        post(tasks_delegated{
            {job_id("l-1"), 0, 0}, {0, 1}, job_id("l-1~1-1-a")});
        tick();
    }
    CHECK(planner_->holds_.empty());
    CHECK(count_held_targets() == 0);
}

// Guards against a hold on a target that can't run the task any more.
TEST_CASE_FIXTURE(flooded_fixture,
                  "held target goes away, room is held on another one")
{
    fail_all(1);
    REQUIRE(planner_->holds_.size() == 1);
    target_id const held = planner_->holds_[0].target_;
    SUBCASE("gone")
    {
        post(target_gone{held});
    }
    SUBCASE("silent")
    {
        set_target(held.str(), {4000, 8192, 0}, target_phase::silent);
    }
    tick();
    REQUIRE(planner_->holds_.size() == 1);
    CHECK(planner_->holds_[0].target_ != held);
    CHECK(count_held_targets() == 1);
}

// Guards against a task that waits on one target whose work goes on for long
// while another one has room sooner.
TEST_CASE_FIXTURE(crowded_fixture,
                  "held target stays full, hold ends, another one is held")
{
    for (char const* const name : {"t-2", "t-3", "t-4"})
    {
        allowed_.insert(target_id(name));
    }
    short_micros_ = 30 * micros_per_second;
    add_lasting("l-1", 1, {4000, 512, 0});
    play(2 * micros_per_second, false);
    REQUIRE(lasting_.size() == 1);
    play(micros_per_second);
    post(target_gone{lasting_[0].target_});
    play(2 * tick_micros);
    REQUIRE(planner_->holds_.size() == 1);
    room_reservation const first = planner_->holds_[0];
    play(now_.remaining_until(first.until_) + tick_micros);
    REQUIRE(planner_->holds_.size() == 1);
    CHECK(planner_->holds_[0].target_ != first.target_);
    CHECK(planner_->holds_[0].until_ > first.until_);
}

// Guards against lasting tasks that wait for a reason that no log tells.
TEST_CASE_FIXTURE(flooded_fixture,
                  "lasting task waits, note tells tickets and held room")
{
    fail_all(1);
    planner_->explain_at_ = now_;
    advance(micros_per_second);
    tick();
    auto const notes = list<note>();
    auto const waiting = std::find_if(notes.begin(), notes.end(),
                                      [](note const& one)
                                      {
                                          return one.what_ == "waiting";
                                      });
    REQUIRE(waiting != notes.end());
    CHECK(waiting->why_.find("allowed 12 (room 12, ticket 0, held 1)") !=
          std::string::npos);
    CHECK(waiting->why_.find("asked for 1100 ms") != std::string::npos);
}

// Random events on a queue with a policy service that allows two of the four
// targets and answers one tick later.
struct random_holds_fixture : plan_random_fixture
{
    std::vector<advice_request> open_;
    std::size_t                 most_held_ = 0;

    random_holds_fixture() { set_queue(advice_policy{580, 5, 2000}); }

    void answer_questions()
    {
        for (advice_request const& asked : open_)
        {
            std::vector<target_ticket> good;
            for (target_id const& target : asked.targets_)
            {
                if (target == target_id("t-1") || target == target_id("t-2"))
                {
                    good.push_back({target, "ticket"});
                }
            }
            post(advice_given{asked.stage_, asked.targets_, good,
                              now_.after(2 * micros_per_second)});
        }
        open_ = list<advice_request>();
    }

    void check_holds() const
    {
        std::set<target_id> held;
        for (room_reservation const& hold : planner_->holds_)
        {
            target_row const* const target =
                planner_->targets_.find(hold.target_);
            stage_row const* const stage = planner_->stages_.find(hold.stage_);
            RC_ASSERT(target != nullptr);
            RC_ASSERT(stage != nullptr);
            RC_ASSERT(target->held_ == hold.amount_);
            RC_ASSERT(is_waiting(stage->tasks_[hold.index_]));
            RC_ASSERT(hold.until_ > now_);
            RC_ASSERT(held.insert(hold.target_).second);
        }
        for (std::size_t row = 0; row < planner_->targets_.size(); ++row)
        {
            RC_ASSERT(planner_->targets_[row].held_.is_zero() !=
                      held.contains(planner_->targets_.key(row)));
        }
    }

    void play(std::vector<step> const& steps)
    {
        for (step const& value : steps)
        {
            answer_questions();
            take_step(value);
            check_holds();
            most_held_ = std::max(most_held_, planner_->holds_.size());
        }
    }
};

// Guards against held room that is counted twice, or that stays on a target
// after its task is gone: such room is lost to all work.
TEST_CASE("random work with a policy service, holds match what waits")
{
    CHECK(rc::check(
        []
        {
            random_holds_fixture shard;
            shard.play(plan_random_fixture::generate_steps(200));
            RC_CLASSIFY(shard.most_held_ > 0, "some room was held");
        }));
}

} // namespace
} // namespace fescuevane::plan

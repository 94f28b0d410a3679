// Purpose: tests of reservations for long-running tasks that wait for a ticket.
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
constexpr std::int64_t reply_micros = 600'000; // of the policy service
constexpr std::int64_t max_down_micros =
    5'000'000; // limit for a long-running task

// Four targets, of which the policy service allows one for the long-running
// task. Short jobs of another queue take all room as it becomes free.
struct busy_shard_fixture : plan_fixture
{
    struct pending_request
    {
        advice_request asked_;
        instant        answer_at_;
    };

    struct short_run
    {
        start_run started_;
        instant   end_at_;
    };

    std::set<target_id>          allowed_ = {target_id("t-1")};
    std::vector<pending_request> requests_;
    std::vector<short_run>       runs_;
    std::vector<start_run>       long_running_; // its starts
    std::uint32_t                next_job_ = 0;
    std::uint32_t                asked_ = 0;
    std::int64_t                 short_micros_ = 3'000'000;

    busy_shard_fixture()
    {
        set_priority(2);
        for (char const* const name : {"t-1", "t-2", "t-3", "t-4"})
        {
            set_target(name);
        }
    }

    // Sets the priority of the short jobs. That of the long-running ones is 2;
    // lower values go first.
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

    void add_long_running(std::string const& id, std::uint32_t count = 1,
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

    void send_replies()
    {
        for (pending_request const& open : requests_)
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
        std::vector<pending_request> rest;
        for (pending_request const& open : requests_)
        {
            if (open.answer_at_ > now_)
            {
                rest.push_back(open);
            }
        }
        requests_.swap(rest);
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

    // Advances the time. On a busy shard, about two short jobs wait at any
    // time.
    void play(std::int64_t micros, bool busy = true)
    {
        for (instant const until = now_.after(micros); now_ < until;)
        {
            send_replies();
            end_short_runs();
            if (busy && count_waiting_short() < 16)
            {
                add_short();
            }
            tick();
            confirm_starts();
            for (start_run const& start : list<start_run>())
            {
                if (start.job_->steps_[0].perpetual_)
                {
                    long_running_.push_back(start);
                }
                else
                {
                    // Runs end at different times, as on a busy shard.
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
                requests_.push_back({asked, now_.after(reply_micros)});
            }
            advance(tick_micros);
        }
    }

    // Counts waiting short tasks.
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

    // Starts a long-running task, fills its targets with short work, and ends
    // the task.
    void fail_long_running(std::int64_t busy_micros = 3 * micros_per_second)
    {
        add_long_running("l-1");
        play(2 * micros_per_second, false);
        REQUIRE(long_running_.size() == 1);
        play(busy_micros);
        end(long_running_[0], run_end::failed);
        long_running_.clear();
    }
};

// Repeats a case while the short runs are at different phases.
struct phase_fixture
{
    std::int32_t priority_ = 2; // of the short jobs
    std::size_t  allowed_ = 1;  // targets

    void check_phases() const
    {
        for (std::int64_t phase = 0; phase < 16; ++phase)
        {
            CAPTURE(phase);
            busy_shard_fixture shard;
            shard.set_priority(priority_);
            for (std::size_t target = 1; target < allowed_; ++target)
            {
                shard.allowed_.insert(
                    target_id("t-" + std::to_string(target + 1)));
            }
            shard.fail_long_running(micros_per_second +
                                    2 * phase * tick_micros);
            shard.play(max_down_micros);
            REQUIRE(shard.long_running_.size() == 1);
            CHECK(shard.allowed_.contains(shard.long_running_[0].target_));
        }
    }
};

// Guards against a long-running task that is down for as long as its shard is
// busy. It requests a ticket once there is room, and other work takes the room
// before the reply arrives. One such task was down for 15 s.
TEST_CASE_FIXTURE(phase_fixture,
                  "lasting run ends, shard is busy, runs again in time")
{
    check_phases();
}

// Guards against a long-running task that is down while better-ranked work
// takes all room on the targets that it may use.
TEST_CASE_FIXTURE(
    phase_fixture,
    "lasting run ends, shard has better-ranked work, runs again in time")
{
    priority_ = 0;
    check_phases();
}

// Guards against a reservation that moves from target to target, and never gets
// all of its room.
TEST_CASE_FIXTURE(phase_fixture,
                  "lasting run ends, two targets allowed, runs again in time")
{
    allowed_ = 2;
    check_phases();
}

// Guards against a long-running task that stays on a shard that can't start it,
// because the list of overflow skips tasks with a pending request.
TEST_CASE_FIXTURE(busy_shard_fixture,
                  "lasting task down, question in flight, offered to others")
{
    allowed_.insert(target_id("t-2"));
    short_micros_ = 30 * micros_per_second; // nothing ends in time
    add_long_running("l-1");
    play(2 * micros_per_second, false);
    REQUIRE(long_running_.size() == 1);
    play(3 * micros_per_second);
    // The other target is full of short work.
    set_target(long_running_[0].target_.str(), {4000, 8192, 0},
               target_phase::draining);
    end(long_running_[0], run_end::failed);
    long_running_.clear();
    play(4 * micros_per_second + 2 * tick_micros);
    REQUIRE(long_running_.empty());
    auto const waiting = list_overflow(*planner_, now_, 600'000);
    CHECK(std::any_of(waiting.begin(), waiting.end(),
                      [](overflow const& tasks)
                      {
                          return tasks.stage_.job_ == job_id("l-1") &&
                                 tasks.blocked_;
                      }));
}

// Twelve targets, all allowed and full of other work.
struct many_tasks_down_fixture : busy_shard_fixture
{
    many_tasks_down_fixture()
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

    // Starts long-running tasks on all targets and ends them all.
    void fail_all(std::uint32_t tasks)
    {
        add_long_running("l-1", tasks, {1000, 512, 0});
        play(2 * micros_per_second, false);
        REQUIRE(long_running_.size() == tasks);
        for (start_run const& start : long_running_)
        {
            end(start, run_end::failed);
        }
        long_running_.clear();
        // Lets the tickets expire.
        advance(3 * micros_per_second);
        play(tick_micros, false);
    }

    std::size_t count_reserved_targets() const
    {
        return static_cast<std::size_t>(
            std::count_if(planner_->targets_.begin(), planner_->targets_.end(),
                          [](target_row const& target)
                          {
                              return !target.held_.is_zero();
                          }));
    }
};

// Guards against long-running tasks that keep the whole shard idle while they
// wait for tickets.
TEST_CASE_FIXTURE(many_tasks_down_fixture,
                  "flood of lasting tasks down, most targets take other work")
{
    fail_all(40);
    // At most an eighth of 48 cores is reserved, with 1 core per task.
    CHECK(planner_->holds_.size() == 6);
    CHECK(count_reserved_targets() == 6);
    for (int job = 0; job < 8; ++job)
    {
        add_short();
    }
    tick();
    CHECK(list<start_run>().size() == 42); // of 48, six are reserved
}

// Guards against urgent work that waits behind a long-running task that has
// only just ended. Later the long-running task goes first, since it would wait
// forever.
TEST_CASE_FIXTURE(many_tasks_down_fixture,
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

// Guards against room that stays reserved for tasks that no longer need it.
TEST_CASE_FIXTURE(many_tasks_down_fixture,
                  "holder needs no room, holds are released")
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
        REQUIRE(long_running_.size() == 2);
    }
    SUBCASE("the tasks are handed to another shard")
    {
        post(tasks_delegated{
            {job_id("l-1"), 0, 0}, {0, 1}, job_id("l-1~1-1-a")});
        tick();
    }
    CHECK(planner_->holds_.empty());
    CHECK(count_reserved_targets() == 0);
}

// Guards against a reservation on a target that can no longer run the task.
TEST_CASE_FIXTURE(many_tasks_down_fixture,
                  "held target goes away, room is held on another one")
{
    fail_all(1);
    REQUIRE(planner_->holds_.size() == 1);
    target_id const held = planner_->holds_[0].target_;
    SUBCASE("gone")
    {
        post(target_removed{held});
    }
    SUBCASE("silent")
    {
        set_target(held.str(), {4000, 8192, 0}, target_phase::silent);
    }
    tick();
    REQUIRE(planner_->holds_.size() == 1);
    CHECK(planner_->holds_[0].target_ != held);
    CHECK(count_reserved_targets() == 1);
}

// Guards against a task that waits for a target with long runs while another
// one has room earlier.
TEST_CASE_FIXTURE(busy_shard_fixture,
                  "held target stays full, hold ends, another one is held")
{
    for (char const* const name : {"t-2", "t-3", "t-4"})
    {
        allowed_.insert(target_id(name));
    }
    short_micros_ = 30 * micros_per_second;
    add_long_running("l-1", 1, {4000, 512, 0});
    play(2 * micros_per_second, false);
    REQUIRE(long_running_.size() == 1);
    play(micros_per_second);
    post(target_removed{long_running_[0].target_});
    play(2 * tick_micros);
    REQUIRE(planner_->holds_.size() == 1);
    room_reservation const first = planner_->holds_[0];
    play(now_.remaining_until(first.until_) + tick_micros);
    REQUIRE(planner_->holds_.size() == 1);
    CHECK(planner_->holds_[0].target_ != first.target_);
    CHECK(planner_->holds_[0].until_ > first.until_);
}

// Guards against long-running tasks that wait for a reason that isn't logged.
TEST_CASE_FIXTURE(many_tasks_down_fixture,
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

// Random events on a queue whose policy service allows two of the four targets
// and replies one tick later.
struct random_reservations_fixture : plan_random_fixture
{
    std::vector<advice_request> open_;
    std::size_t                 max_reservations_ = 0;

    random_reservations_fixture() { set_queue(advice_policy{580, 5, 2000}); }

    void send_replies()
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

    void check_reservations() const
    {
        std::set<target_id> held;
        for (room_reservation const& reservation : planner_->holds_)
        {
            target_row const* const target =
                planner_->targets_.find(reservation.target_);
            stage_row const* const stage =
                planner_->stages_.find(reservation.stage_);
            RC_ASSERT(target != nullptr);
            RC_ASSERT(stage != nullptr);
            RC_ASSERT(target->held_ == reservation.amount_);
            RC_ASSERT(is_waiting(stage->tasks_[reservation.index_]));
            RC_ASSERT(reservation.until_ > now_);
            RC_ASSERT(held.insert(reservation.target_).second);
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
            send_replies();
            take_step(value);
            check_reservations();
            max_reservations_ =
                std::max(max_reservations_, planner_->holds_.size());
        }
    }
};

// Guards against reservations that are counted twice, or stay on a target after
// their task was removed. Such room is lost to all work.
TEST_CASE("random work with a policy service, holds match what waits")
{
    CHECK(rc::check(
        []
        {
            random_reservations_fixture shard;
            shard.play(plan_random_fixture::generate_steps(200));
            RC_CLASSIFY(shard.max_reservations_ > 0, "some room was held");
        }));
}

} // namespace
} // namespace fescuevane::plan

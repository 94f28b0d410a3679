// Purpose: tests of timed jobs with many occurrences due at once.
#include "core/job_progress.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>
#include <algorithm>
#include <map>

namespace fescuevane::plan
{
namespace
{

// A job with one short task in each of many occurrences, all of them due, and
// one target with room for all of its tasks.
struct overdue_fixture : plan_fixture
{
    static constexpr std::uint32_t       occurrences = 20'160;
    std::map<std::uint32_t, std::size_t> starts_; // by occurrence

    overdue_fixture() { set_target("t-1", {1'000'000'000, 1'000'000'000, 0}); }

    void add_overdue(std::uint32_t       count = occurrences,
                     job_progress const& progress = {}, bool recovered = false)
    {
        post(job_added{.job_ = make_job("j-1", {make_step(1)}, count, 0),
                       .progress_ = progress,
                       .accepted_at_ = now_,
                       .recovered_ = recovered});
        unix_ms_ = 1000 * static_cast<std::int64_t>(count);
    }

    static run_key run_of(std::uint32_t occurrence)
    {
        return {{job_id("j-1"), occurrence, 0}, 0, 1};
    }

    // Runs tasks to their end until none is started any more.
    void run_all()
    {
        do
        {
            tick();
            for (start_run const& start : list<start_run>())
            {
                ++starts_[start.run_.stage_.occurrence_];
                end(start, run_end::done);
            }
            advance(10'000);
        } while (!list<start_run>().empty() ||
                 next_deadline(*planner_) <= now_);
    }
};

// Guards against an owner that does nothing else for many seconds, because one
// job has many occurrences due.
TEST_CASE_FIXTURE(overdue_fixture,
                  "20,160 occurrences due, a tick opens few of them, another "
                  "job starts at once")
{
    constexpr std::size_t most = 2'500;
    add_overdue();
    tick();
    CHECK(list<start_run>().size() <= most);
    add_job("j-2", {make_step(1)});
    tick();
    auto const starts = list<start_run>();
    CHECK(starts.size() <= most);
    CHECK(std::any_of(starts.begin(), starts.end(),
                      [](start_run const& start)
                      {
                          return start.run_.stage_.job_ == job_id("j-2");
                      }));
}

// Guards against occurrences that are left out or run twice when only some are
// open at a time.
TEST_CASE_FIXTURE(overdue_fixture,
                  "3,000 occurrences due, all run, each once, completed")
{
    constexpr std::uint32_t count = 3'000;
    add_overdue(count);
    run_all();
    CHECK(starts_.size() == count);
    CHECK(std::all_of(starts_.begin(), starts_.end(),
                      [](auto const& entry)
                      {
                          return entry.second == 1;
                      }));
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
}

// Guards against occurrences that never start while no target has room: the
// number of waiting tasks bounds the open ones.
TEST_CASE_FIXTURE(overdue_fixture,
                  "600 occurrences due, room for one task, all run")
{
    constexpr std::uint32_t count = 600;
    set_target("t-1", {1000, 512, 0});
    add_overdue(count);
    run_all();
    CHECK(starts_.size() == count);
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
}

// Guards against runs that a new owner stops, and ends that it drops, since it
// hasn't opened their occurrence yet: the tasks would run again.
TEST_CASE_FIXTURE(overdue_fixture,
                  "runs of late occurrences, reported after a takeover, kept")
{
    constexpr std::uint32_t count = 2'000;
    constexpr std::uint32_t running = 1'900;
    constexpr std::uint32_t done = 1'901;
    add_overdue(count, {.phase_ = job_phase::running}, true);
    post(run_seen{run_of(running), target_id("t-1"), "", 40});
    post(run_ended{run_of(done), target_id("t-1"), run_end::done, ""});
    tick();
    CHECK(list<stop_run>().empty());
    CHECK(write_progress(*planner_, job_id("j-1")).ended_steps_.at(0) ==
          index_ranges(done));
    for (start_run const& start : list<start_run>())
    {
        ++starts_[start.run_.stage_.occurrence_];
        end(start, run_end::done);
    }
    run_all();
    CHECK(starts_.size() == count - 2);
    CHECK_FALSE(starts_.contains(running));
    CHECK_FALSE(starts_.contains(done));
    post(run_ended{run_of(running), target_id("t-1"), run_end::done, ""});
    tick();
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
}

// Guards against a start before the due time: the clock of the former owner was
// ahead, and a target reports a run of an occurrence that isn't due here.
TEST_CASE_FIXTURE(plan_fixture,
                  "run reported before its occurrence is due, kept, other "
                  "tasks wait until then")
{
    constexpr std::int64_t early_ms = 40;
    set_target("t-1");
    post(job_added{.job_ =
                       make_job("j-1", {make_step(2)}, 1, unix_ms_ + early_ms),
                   .progress_ = {.phase_ = job_phase::running},
                   .accepted_at_ = now_,
                   .recovered_ = true});
    post(run_seen{{{job_id("j-1"), 0, 0}, 0, 1}, target_id("t-1"), "", 1});
    tick();
    CHECK(list<stop_run>().empty());
    CHECK(list<start_run>().empty());
    advance(early_ms * micros_per_milli);
    tick();
    REQUIRE(list<start_run>().size() == 1);
    CHECK(list<start_run>()[0].run_.index_ == 1);
}

// Guards against ended occurrences that run again under the next owner, and
// against progress that grows with their number.
TEST_CASE_FIXTURE(overdue_fixture,
                  "ended occurrences, read by the next owner, not started")
{
    constexpr std::uint32_t count = 1'000;
    constexpr std::uint32_t ended = 700;
    job_progress            progress{.phase_ = job_phase::running};
    for (std::uint32_t occurrence = 0; occurrence < ended; ++occurrence)
    {
        progress.ended_steps_[0] += occurrence;
    }
    add_overdue(count, progress, true);
    run_all();
    CHECK(starts_.size() == count - ended);
    CHECK(starts_.begin()->first == ended);
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
}

// Guards against a load that opens every occurrence with stored progress.
TEST_CASE_FIXTURE(overdue_fixture,
                  "progress in 500 occurrences of 1,000 tasks, read, few are "
                  "open")
{
    constexpr std::uint32_t count = 500;
    constexpr std::uint32_t width = 1'000;
    constexpr std::size_t   most = 25'000;
    job_progress            progress{.phase_ = job_phase::running};
    for (std::uint32_t occurrence = 0; occurrence < count; ++occurrence)
    {
        progress.done_tasks_[{occurrence, 0}] += 0U;
    }
    post(job_added{.job_ = make_job("j-1", {make_step(width)}, count, 0),
                   .progress_ = progress,
                   .accepted_at_ = now_,
                   .recovered_ = true});
    unix_ms_ = 1000 * static_cast<std::int64_t>(count);
    tick();
    CHECK(list<start_run>().size() <= most);
}

// Guards against jobs that a new version of the program can't finish: earlier
// versions stored an entry for each ended task.
TEST_CASE_FIXTURE(overdue_fixture,
                  "ended tasks listed one by one, read, not started")
{
    job_progress progress{.phase_ = job_phase::running};
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence)
    {
        progress.tasks_.push_back(
            {.occurrence_ = occurrence, .done_ = true, .last_run_ = 1});
    }
    add_overdue(4, progress, true);
    run_all();
    CHECK(starts_.size() == 1);
    CHECK(starts_.contains(3));
    CHECK(find_phase(*planner_, job_id("j-1")) == job_phase::completed);
}

// Guards against a delegate that nobody ends: its task was reported as done
// here, which ended the stage, and then the owner changed.
TEST_CASE_FIXTURE(plan_fixture,
                  "delegated task reported as done, stage ends, delegate kept")
{
    set_target("t-1");
    add_job("j-1", {make_step(1), make_step(1, {0})});
    stage_key const stage{job_id("j-1"), 0, 0};
    post(tasks_delegated{stage, {0}, job_id("j-1~1"), 0});
    tick();
    post(run_ended{{stage, 0, 1}, target_id("t-1"), run_end::done, ""});
    tick();
    job_progress const progress = write_progress(*planner_, job_id("j-1"));
    REQUIRE(progress.tasks_.size() == 1);
    CHECK(progress.tasks_[0].delegate_ == job_id("j-1~1"));
    post(delegate_ended{stage, job_id("j-1~1"), job_phase::canceled});
    tick();
    CHECK(write_progress(*planner_, job_id("j-1")).tasks_.empty());
}

// The same for a stage that an earlier version stored task by task.
TEST_CASE_FIXTURE(plan_fixture,
                  "ended stage listed task by task, read, delegate kept")
{
    job_id const delegate("j-1~1");
    add_job(
        "j-1", {make_step(1), make_step(1, {0})},
        {.phase_ = job_phase::running,
         .tasks_ = {{.done_ = true, .last_run_ = 1, .delegate_ = delegate}}},
        true);
    tick();
    job_progress const progress = write_progress(*planner_, job_id("j-1"));
    CHECK(progress.ended_steps_.at(0) == index_ranges(0));
    REQUIRE(progress.tasks_.size() == 1);
    CHECK(progress.tasks_[0].delegate_ == delegate);
}

} // namespace
} // namespace fescuevane::plan

// Purpose: tests of how owners judge the progress of runs.
#include "tests/unit/cell_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// Two targets that answer every hold request at once and run the tasks of one
// job.
struct progress_fixture : cell_fixture
{
    std::vector<plan::start_run> starts_;

    progress_fixture()
    {
        list_target("t-2");
        serve();
    }

    void submit_tasks(std::uint32_t count)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id("aa01"),
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job_id("aa01"),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("orders"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {{.count_ = count,
                                         .demand_ = {1000, 512, 0},
                                         .estimate_ms_ = 1000}},
                             .accepted_unix_ms_ = unix_ms_}),
                         .deadline_ = now_.after(3 * micros_per_second)});
        run(50'000);
        for (send_start const& order : take<send_start>())
        {
            starts_.push_back(order.start_);
            post(order_reply{.request_ = order.request_,
                             .outcome_ = target_outcome::done});
        }
        REQUIRE(starts_.size() == count);
        run(20'000);
    }

    // Answers the pending hold requests: all runs except the ended ones are at
    // `percent`.
    void report(std::int32_t percent, std::size_t ended = 0)
    {
        for (hold_target const& hold : take<hold_target>())
        {
            std::vector<reported_run> runs;
            std::vector<reported_end> ends;
            for (std::size_t task = 0; task < starts_.size(); ++task)
            {
                plan::start_run const& start = starts_[task];
                if (start.target_ != hold.target_)
                {
                    continue;
                }
                if (task < ended)
                {
                    ends.push_back({task + 1, start.run_, run_end::done, ""});
                }
                else
                {
                    runs.push_back({.run_ = start.run_, .percent_ = percent});
                }
            }
            answer_hold(hold, runs, ends);
        }
    }

    void run_reporting(std::int64_t micros, std::int32_t percent,
                       std::size_t ended = 0)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            report(percent, ended);
            run(step);
        }
    }

    // The owner gets no processor time; the replies sent meanwhile are read
    // shortly after the first tick.
    void run_late(std::int64_t micros, std::int32_t percent,
                  std::size_t ended = 0)
    {
        advance(micros);
        tick();
        report(percent, ended);
        run(20'000);
    }
};

// Guards against lost work: the owner had no processor time, and judged a run
// stalled whose reports it hadn't read.
TEST_CASE_FIXTURE(progress_fixture, "owner late, run goes on, isn't stopped")
{
    submit_tasks(1);
    run_reporting(500'000, 10);
    run_late(3 * micros_per_second, 60);
    CHECK(take<send_stop>().empty());
    run_reporting(2 * micros_per_second, 70);
    CHECK(take<send_stop>().empty());
}

// Guards against hung runs that an owner that is behind never stops.
TEST_CASE_FIXTURE(progress_fixture,
                  "owner late again and again, run stalls, is stopped")
{
    submit_tasks(1);
    run_reporting(500'000, 10);
    std::size_t stops = 0;
    for (int round = 0; round < 8 && stops == 0; ++round)
    {
        run_late(900'000, 10);
        run_reporting(1'500'000, 10);
        stops = take<send_stop>().size();
    }
    CHECK(stops == 1);
}

// Guards against lost work: an owner that was behind read reports long after
// they were sent, which made a run look slower than its siblings.
TEST_CASE_FIXTURE(progress_fixture,
                  "owner late, run as fast as others, goes on")
{
    submit_tasks(2);
    run_reporting(400'000, 30, 1);
    run_late(2 * micros_per_second, 35, 1);
    run_reporting(500'000, 60, 1);
    run_reporting(2 * micros_per_second, 95, 1);
    CHECK(take<send_stop>().empty());
}

// Guards against a run on a slow target that an owner never moves after it was
// behind once.
TEST_CASE_FIXTURE(progress_fixture, "owner late long ago, run slow, is moved")
{
    submit_tasks(2);
    run_reporting(400'000, 30, 1);
    run_late(2 * micros_per_second, 35, 1);
    run_reporting(2 * micros_per_second, 37, 1);
    run_reporting(micros_per_second, 38, 1);
    CHECK(take<send_stop>().size() == 1);
}

} // namespace
} // namespace fescuevane::cell

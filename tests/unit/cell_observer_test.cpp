// Purpose: tests of what a tick reports to its observer.
#include "cell_fixture.hpp"
#include "recording_observer.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

struct observer_fixture : cell_fixture
{
    recording_observer recorded_;

    observer_fixture() { observer_ = &recorded_; }

    // A job runs on the target, and its owner has renewed the lease.
    hold_target run_job()
    {
        serve();
        submit("a1");
        run(100'000);
        for (send_start const& start : take<send_start>())
        {
            runs_.push_back({.run_ = start.start_.run_});
            post(order_reply{.request_ = start.request_,
                             .outcome_ = target_outcome::done});
        }
        REQUIRE(runs_.size() == 1);
        answer_open_hold();
        return answer_open_hold();
    }

    // Replies to the hold in flight; the next one is in flight afterwards.
    hold_target answer_open_hold()
    {
        run(50'000);
        std::vector<hold_target> const holds = take<hold_target>();
        if (!holds.empty())
        {
            open_.emplace(holds.back());
        }
        hold_target const answered = *open_;
        answer_hold(answered, runs_);
        run(10'000);
        std::vector<hold_target> const next = take<hold_target>();
        REQUIRE(next.size() == 1);
        open_.emplace(next.back());
        return next.back();
    }

    std::vector<reported_run>  runs_;
    std::optional<hold_target> open_;
};

TEST_CASE_FIXTURE(observer_fixture,
                  "tick, observed, names each system in order")
{
    tick();
    REQUIRE(recorded_.systems_.size() == 21);
    CHECK(recorded_.systems_.front() == "apply_events");
    CHECK(recorded_.systems_.back() == "release_shards");
}

// Guards against old replies that look fresh because the process was late.
TEST_CASE_FIXTURE(observer_fixture,
                  "hold reply, judged late, shows its age and the lease left")
{
    hold_target const hold = run_job();
    recorded_.timings_.clear();
    reported_run const seen = runs_.front();
    answer_hold(hold, {seen});
    std::int64_t const late_micros = 1'500'000;
    advance(late_micros);
    tick();
    REQUIRE(recorded_.timings_.size() == 1);
    hold_timing const& timing = recorded_.timings_.front();
    CHECK(timing.answered_);
    CHECK(timing.age_micros_ >= late_micros);
    REQUIRE(timing.lease_left_micros_.has_value());
    CHECK(*timing.lease_left_micros_ <=
          settings_.lease_ms_ * micros_per_milli - late_micros);
    CHECK(*timing.lease_left_micros_ > 0);
    CHECK(recorded_.lapsed_.empty());
}

// Guards against a lease that lapses unnoticed while the process is paused.
TEST_CASE_FIXTURE(observer_fixture,
                  "hold reply, judged after its lease, counts a lapse")
{
    hold_target const hold = run_job();
    answer_hold(hold, {runs_.front()});
    advance((settings_.lease_ms_ + 1000) * micros_per_milli);
    tick();
    CHECK(recorded_.lapsed_ == std::vector<target_id>{target_id("t-1")});
}

TEST_CASE_FIXTURE(observer_fixture,
                  "hold, without an answer, isn't counted as answered")
{
    hold_target const hold = run_job();
    recorded_.timings_.clear();
    fail_hold(hold);
    tick();
    REQUIRE(recorded_.timings_.size() == 1);
    CHECK_FALSE(recorded_.timings_.front().answered_);
}

} // namespace
} // namespace fescuevane::cell

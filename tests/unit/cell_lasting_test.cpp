// Purpose: tests of how soon a long-running task runs again.
#include "cell_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace fescuevane::cell
{
namespace
{

// Longest time without a run that users accept.
constexpr std::int64_t allowed_micros = 6 * micros_per_second;

// One long-running task. Targets delay the replies to hold requests, and may be
// unreachable or lose starts.
struct long_running_fixture : cell_fixture
{
    struct open_hold
    {
        hold_target hold_;
        instant     due_;
    };

    std::deque<open_hold>                          holds_;
    std::deque<std::pair<instant, order_reply>>    replies_;
    std::map<target_id, std::vector<reported_run>> running_;
    std::set<target_id>                            unresponsive_;
    std::map<target_id, std::int64_t> leases_; // until, by the target's clock
    int                               overlaps_ = 0;
    int lost_starts_ = 0; // starts still to be lost

    explicit long_running_fixture(bool long_running = true)
    {
        list_target("t-1");
        list_target("t-2");
        run_targets(micros_per_second);
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id("aa01"),
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job_id("aa01"),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("orders"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {{.count_ = 1,
                                         .demand_ = {1000, 512, 0},
                                         .estimate_ms_ = 1000,
                                         .speculative_ = !long_running,
                                         .perpetual_ = long_running}},
                             .accepted_unix_ms_ = unix_ms_}),
                         .deadline_ = now_.after(3 * micros_per_second)});
    }

    void take_holds()
    {
        for (hold_target const& hold : take<hold_target>())
        {
            std::int64_t& lease = leases_[hold.target_];
            lease = std::max(lease, hold.lease_clock_ms_);
            instant const due =
                unresponsive_.contains(hold.target_)
                    ? hold.deadline_
                    : now_.after(hold.wait_ms_ * micros_per_milli);
            holds_.push_back({hold, due});
        }
        for (std::size_t open = holds_.size(); open-- > 0;)
        {
            open_hold const entry = holds_.front();
            holds_.pop_front();
            target_id const& id = entry.hold_.target_;
            if (unresponsive_.contains(id) && entry.hold_.deadline_ <= now_)
            {
                fail_hold(entry.hold_);
            }
            else if (!unresponsive_.contains(id) && entry.due_ <= now_)
            {
                answer_hold(entry.hold_, running_[id]);
            }
            else
            {
                holds_.push_back(entry);
            }
        }
    }

    // Counts other targets that may still run the task when one is told to
    // start it.
    void count_overlaps(target_id const& started)
    {
        for (auto const& [target, runs] : running_)
        {
            overlaps_ +=
                target != started && !runs.empty() && leases_[target] > unix_ms_
                    ? 1
                    : 0;
        }
    }

    void take_orders()
    {
        for (send_start const& start : take<send_start>())
        {
            target_id const& target = start.start_.target_;
            if (unresponsive_.contains(target) || lost_starts_ > 0)
            {
                lost_starts_ -= unresponsive_.contains(target) ? 0 : 1;
                replies_.push_back(
                    {start.deadline_,
                     {.request_ = start.request_, .error_ = "no answer"}});
                continue;
            }
            count_overlaps(target);
            std::int64_t& lease = leases_[target];
            lease = std::max(lease, start.lease_clock_ms_);
            running_[target].push_back({start.start_.run_, "", 1, 0});
            replies_.push_back({now_,
                                {.request_ = start.request_,
                                 .outcome_ = target_outcome::done}});
        }
        for (send_stop const& stop : take<send_stop>())
        {
            replies_.push_back(
                {now_,
                 {.request_ = stop.request_,
                  .outcome_ = unresponsive_.contains(stop.stop_.target_)
                                  ? target_outcome::unknown
                                  : target_outcome::done}});
        }
        for (std::size_t open = replies_.size(); open-- > 0;)
        {
            auto const reply = replies_.front();
            replies_.pop_front();
            if (reply.first <= now_)
            {
                post(reply.second);
            }
            else
            {
                replies_.push_back(reply);
            }
        }
    }

    void run_targets(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            tick();
            take_holds();
            take_orders();
            advance(step);
        }
    }

    // The target that runs the task; empty: none.
    target_id find_runner() const
    {
        for (auto const& [target, runs] : running_)
        {
            if (!runs.empty() && !unresponsive_.contains(target))
            {
                return target;
            }
        }
        return target_id();
    }
};

// Guards against a long-running task that stays down after its target was cut
// off: the end of its run was awaited for 8 s, though such a run has no result.
TEST_CASE_FIXTURE(long_running_fixture,
                  "lasting task, target silent and listed, runs again in time")
{
    run_targets(2 * micros_per_second);
    target_id const first = find_runner();
    REQUIRE_FALSE(first.empty());
    unresponsive_.insert(first);
    SUBCASE("owner on time")
    {
        run_targets(settings_.lease_ms_ * micros_per_milli + allowed_micros);
    }
    SUBCASE("owner late")
    {
        std::int64_t left =
            settings_.lease_ms_ * micros_per_milli + allowed_micros;
        for (; left > 1'400'000; left -= 1'400'000)
        {
            run_targets(1'000'000);
            advance(400'000); // without a tick
        }
    }
    CHECK_FALSE(find_runner().empty());
    CHECK(overlaps_ == 0);
}

struct speculative_fixture : long_running_fixture
{
    speculative_fixture() : long_running_fixture(false) {}
};

// Guards against a task that waits for an unresponsive target although a second
// run of it is allowed.
TEST_CASE_FIXTURE(
    speculative_fixture,
    "task with copies, target unresponsive but listed, runs again soon")
{
    run_targets(2 * micros_per_second);
    target_id const first = find_runner();
    REQUIRE_FALSE(first.empty());
    unresponsive_.insert(first);
    run_targets(settings_.lease_ms_ * micros_per_milli + micros_per_second);
    CHECK_FALSE(find_runner().empty());
    CHECK(overlaps_ == 0);
}

// Guards against a long-running task that stays down while its starts get lost:
// each one was awaited, stopped and given 3 s before the next.
TEST_CASE_FIXTURE(long_running_fixture,
                  "lasting task, starts get no answer, runs in time")
{
    // One start is sent three times, the next one once.
    SUBCASE("some of them")
    {
        lost_starts_ = 2;
    }
    SUBCASE("all of one run")
    {
        lost_starts_ = 4;
    }
    run_targets(allowed_micros);
    CHECK_FALSE(find_runner().empty());
    CHECK(overlaps_ == 0);
}

} // namespace
} // namespace fescuevane::cell

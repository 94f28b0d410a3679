// Purpose: tests of orders that reach a later incarnation of a target than the
// one that its owner knows, after which the target is cut off.
#include "cell_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace fescuevane::cell
{
namespace
{

// A long-running task is started on t-1; then t-2 has room, too. A target
// shortens a lease to the longest one, so a call that names an end on the clock
// of its former incarnation gives it that.
struct later_incarnation_fixture : cell_fixture
{
    static constexpr std::int64_t young_clock_ms = 800;

    bool                     reached_ = true; // t-1
    send_start               first_;          // on t-1
    std::vector<send_start>  others_;
    std::vector<hold_target> holds_; // of t-1, without a reply

    later_incarnation_fixture() : first_(start_task())
    {
        reached_ = false;
        list_target("t-2");
    }

    send_start start_task()
    {
        serve();
        submit_steps("aa01", {{.demand_ = {1000, 512, 0}, .perpetual_ = true}});
        run(50'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        return starts[0];
    }

    void confirm(std::int64_t clock_ms)
    {
        post(order_reply{.request_ = first_.request_,
                         .outcome_ = target_outcome::done,
                         .clock_ms_ = clock_ms});
        tick();
    }

    void answer(hold_target const& hold)
    {
        if (hold.target_ == target_id("t-2") || reached_)
        {
            answer_hold(hold);
            return;
        }
        holds_.push_back(hold);
        fail_hold(hold);
    }

    // True when a task started elsewhere within that time.
    bool starts_within(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros && others_.empty();
             passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                answer(hold);
            }
            run(step);
            for (send_start const& start : take<send_start>())
            {
                others_.push_back(start);
            }
        }
        return !others_.empty();
    }

    std::int64_t longest_lease_micros() const
    {
        return settings_.max_lease_ms_ * micros_per_milli;
    }
};

// Guards against a second run of a long-running task: its start was carried out
// by the next incarnation of the target, whose lease was counted by the clock
// of the former one.
TEST_CASE_FIXTURE(later_incarnation_fixture,
                  "start answered by a restarted target, target lost, longest "
                  "lease awaited")
{
    confirm(young_clock_ms);
    CHECK_FALSE(starts_within(longest_lease_micros()));
    CHECK(starts_within(3 * micros_per_second));
}

// Guards against the same second run after a start without a reply.
TEST_CASE_FIXTURE(later_incarnation_fixture,
                  "start unanswered, target lost, longest lease awaited")
{
    post(order_reply{.request_ = first_.request_, .error_ = "no answer"});
    CHECK_FALSE(starts_within(longest_lease_micros()));
    CHECK(starts_within(3 * micros_per_second));
}

// Guards against long-running tasks that stay down although the reply shows
// which incarnation runs them.
TEST_CASE_FIXTURE(later_incarnation_fixture,
                  "start answered by the known incarnation, target lost, usual "
                  "lease awaited")
{
    confirm(unix_ms_);
    CHECK(starts_within(settings_.lease_ms_ * micros_per_milli +
                        2 * micros_per_second));
}

// Guards against leases that are counted by the clock of an incarnation that
// has ended: the next call to the target only asks.
TEST_CASE_FIXTURE(later_incarnation_fixture,
                  "start answered by a restarted target, next hold without a "
                  "lease")
{
    take<hold_target>();
    confirm(young_clock_ms);
    auto const holds = take<hold_target>();
    auto const next = std::find_if(holds.begin(), holds.end(),
                                   [](hold_target const& hold)
                                   {
                                       return hold.target_ == target_id("t-1");
                                   });
    REQUIRE(next != holds.end());
    CHECK(next->lease_clock_ms_ == 0);
    CHECK(next->forgotten_ == 0);
}

// Guards against starts that name an end on the clock of a former incarnation.
TEST_CASE_FIXTURE(later_incarnation_fixture,
                  "start answered by a restarted target, no other start before "
                  "it has replied")
{
    post(target_unlisted{target_id("t-2")});
    confirm(young_clock_ms);
    submit("aa02");
    CHECK_FALSE(starts_within(500'000));
    reached_ = true;
    CHECK(starts_within(500'000));
    CHECK(others_[0].start_.target_ == target_id("t-1"));
}

// The next owner can't reach t-1.
struct lost_at_takeover_fixture : later_incarnation_fixture
{
    lost_at_takeover_fixture()
    {
        confirm(unix_ms_);
        row_key const key{"member", "0", "shard/east.0"};
        rows_[key] = {key,
                      write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 6}),
                      ++revision_};
        start(3);
        list_target("t-1");
        list_target("t-2");
        commands_.clear();
    }

    // Runs until the shard serves again.
    void claim()
    {
        while (!owns_shards(*node_))
        {
            starts_within(10'000);
        }
    }
};

// Guards against a second run at a takeover: the former owner may have started
// the task on an incarnation that had just begun.
TEST_CASE_FIXTURE(lost_at_takeover_fixture,
                  "target not reached at a takeover, longest lease awaited")
{
    claim();
    CHECK_FALSE(starts_within(longest_lease_micros()));
    CHECK(starts_within(8 * micros_per_second));
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of how long a new owner takes into account the leases that
// former owners granted.
#include "cell_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace fescuevane::cell
{
namespace
{

// A former owner runs a long-running task on t-1, whose incarnation may be
// young. Its successor also has t-2.
struct former_leases_fixture : cell_fixture
{
    static constexpr std::int64_t longest_lease_micros =
        10 * micros_per_second; // of targets

    run_key      run_;
    std::int64_t up_unix_ms_ = 0; // start of the incarnation of t-1
    bool         reached_ = true; // t-1
    instant      first_reply_at_ = instant::never(); // of t-1

    void start_task()
    {
        serve();
        staged_job job = make_job("aa01");
        post(call_opened{
            .call_ = ++last_call_,
            .kind_ = call_kind::submit,
            .id_ = job.id_,
            .job_ = std::make_shared<staged_job const>(staged_job{
                .id_ = job.id_,
                .organisation_ = job.organisation_,
                .queue_ = job.queue_,
                .service_ = job.service_,
                .payload_ = "work",
                .steps_ = {{.demand_ = {1000, 512, 0}, .perpetual_ = true}},
                .accepted_unix_ms_ = unix_ms_}),
            .deadline_ = now_.after(3 * micros_per_second)});
        run(50'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        run_ = starts[0].start_.run_;
    }

    // The next process of the host takes the shard over from another one.
    void take_over()
    {
        start_task();
        row_key const key{"member", "0", "shard/east.0"};
        rows_[key] = {key,
                      write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 6}),
                      ++revision_};
        start(3);
        list_target("t-1");
        list_target("t-2");
        commands_.clear();
    }

    void answer(hold_target const& hold)
    {
        if (hold.target_ == target_id("t-2"))
        {
            answer_hold(hold);
        }
        else if (!reached_)
        {
            fail_hold(hold);
        }
        else
        {
            first_reply_at_ = std::min(first_reply_at_, now_);
            post(hold_reply{.request_ = hold.request_,
                            .target_ = hold.target_,
                            .outcome_ = target_outcome::done,
                            .clock_ms_ = unix_ms_ - up_unix_ms_,
                            .born_unix_ms_ = 7,
                            .runs_ = {{run_, "", 1, 0}}});
        }
    }

    // Runs for some time, but not on after a start on t-2. Returns true when
    // there was one.
    bool run_until_start(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                answer(hold);
            }
            run(step);
            if (!take<send_start>().empty())
            {
                return true;
            }
        }
        return false;
    }

    // Runs until t-1 has replied once. It doesn't reply again.
    void reach_once()
    {
        constexpr std::int64_t longest_micros = 10 * micros_per_second;
        instant const          end = now_.after(longest_micros);
        while (first_reply_at_ == instant::never() && now_ < end)
        {
            REQUIRE(!run_until_start(10'000));
        }
        REQUIRE(first_reply_at_ != instant::never());
        reached_ = false;
    }
};

// Guards against a second run of a long-running task whose target restarted
// shortly before a takeover: a renewal for the earlier incarnation, far beyond
// the clock of the present one, may have granted the longest lease, and the new
// owner counted only its own renewals.
TEST_CASE_FIXTURE(former_leases_fixture,
                  "incarnation young at takeover, target lost after its first "
                  "reply, longest lease awaited")
{
    take_over();
    constexpr std::int64_t age_ms = 1000;
    up_unix_ms_ = unix_ms_ - age_ms;
    reach_once();
    CHECK_FALSE(run_until_start(longest_lease_micros));
    CHECK(run_until_start(micros_per_second));
}

// Guards against long-running tasks that stay down although no lease of an old
// incarnation can be longer than the usual one.
TEST_CASE_FIXTURE(former_leases_fixture,
                  "incarnation old at takeover, target lost after its first "
                  "reply, usual lease awaited")
{
    take_over();
    reach_once();
    CHECK_FALSE(run_until_start(settings_.lease_ms_ * micros_per_milli));
    CHECK(run_until_start(micros_per_second));
}

} // namespace
} // namespace fescuevane::cell

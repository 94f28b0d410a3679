// Purpose: tests of the measures of late processes.
#include "cell/hold_timing.hpp"
#include "core/instant.hpp"
#include "io/measures.hpp"
#include "platform/load_meter.hpp"
#include "platform/load_scope.hpp"

#include <doctest/doctest.h>
#include <algorithm>
#include <string>

namespace fescuevane::platform
{
namespace
{

struct load_fixture
{
    static constexpr std::int64_t lease_micros = 4'000'000;

    instant      now_ = instant(10 * micros_per_second);
    io::measures measures_;
    load_meter   meter_{measures_, lease_micros, now_};
    bool         owner_ = true;

    // A tick that runs `delay` after it was due.
    std::optional<io::event_log::fields> tick_late(std::int64_t delay)
    {
        meter_.expect_tick(now_, now_);
        now_ = now_.after(delay);
        meter_.start_tick(now_);
        meter_.begin_tick();
        meter_.end_system("apply_events", 0);
        return meter_.finish_tick(now_, owner_);
    }

    static std::string find(io::event_log::fields const& fields,
                            std::string const&           name)
    {
        auto const found = std::find_if(fields.begin(), fields.end(),
                                        [&name](auto const& field)
                                        {
                                            return field.first == name;
                                        });
        return found == fields.end() ? "" : found->second;
    }

    bool serves(std::string const& line) const
    {
        return measures_.write().find(line) != std::string::npos;
    }
};

// Guards against a tick that was asked for anew while it was overdue, which
// hid the delay.
TEST_CASE_FIXTURE(load_fixture, "tick, asked for twice, is late by the first")
{
    meter_.expect_tick(now_, now_);
    now_ = now_.after(300'000);
    meter_.expect_tick(now_, now_);
    tick_late(1'000);
    CHECK(serves("fescuevane_loop_delay_seconds_sum 0.301"));
}

TEST_CASE_FIXTURE(load_fixture, "tick, asked for in the past, isn't late")
{
    meter_.expect_tick(instant(), now_);
    meter_.start_tick(now_);
    meter_.begin_tick();
    meter_.finish_tick(now_, owner_);
    CHECK(serves("fescuevane_loop_delay_seconds_sum 0\n"));
}

TEST_CASE_FIXTURE(load_fixture,
                  "load line, of an owner, once a period with the largest")
{
    CHECK_FALSE(tick_late(150'000));
    CHECK_FALSE(tick_late(700'000));
    auto const line = tick_late(1'200'000);
    REQUIRE(line);
    CHECK(find(*line, "loop_delay_ms") == "1200");
    CHECK(find(*line, "ticks") == "3");
    CHECK(find(*line, "lease_left_ms") == "none");
    CHECK_FALSE(tick_late(10'000));
}

TEST_CASE_FIXTURE(load_fixture, "load line, without a shard, only when late")
{
    owner_ = false;
    meter_.start_tick(now_);
    meter_.begin_tick();
    now_ = now_.after(3 * micros_per_second);
    CHECK_FALSE(meter_.finish_tick(now_, owner_));
    CHECK(tick_late(2'500'000));
}

// Guards against lapses of sick targets that are put down to the process.
TEST_CASE_FIXTURE(load_fixture, "lapses, by lateness of the loop, told apart")
{
    tick_late(0);
    meter_.lapse_lease(target_id("t-1"));
    tick_late(250'000);
    meter_.lapse_lease(target_id("t-1"));
    now_ = now_.after(lease_micros);
    tick_late(0);
    meter_.lapse_lease(target_id("t-1"));
    CHECK(serves("fescuevane_leases_lapsed_total{late=\"false\"} 2\n"));
    CHECK(serves("fescuevane_leases_lapsed_total{late=\"true\"} 1\n"));
}

TEST_CASE_FIXTURE(load_fixture, "hold replies, judged, served with their lease")
{
    meter_.judge_hold({.target_ = target_id("t-1"),
                       .answered_ = true,
                       .age_micros_ = 900'000,
                       .lease_left_micros_ = 3'000'000});
    meter_.judge_hold({.target_ = target_id("t-2"),
                       .answered_ = true,
                       .age_micros_ = 100'000,
                       .lease_left_micros_ = -20'000});
    meter_.judge_hold({.target_ = target_id("t-3")});
    meter_.note_store_call(now_, now_.after(40'000));
    now_ = now_.after(2 * micros_per_second);
    auto const line = tick_late(0);
    REQUIRE(line);
    CHECK(find(*line, "hold_age_ms") == "900");
    CHECK(find(*line, "lease_left_ms") == "-20");
    CHECK(find(*line, "holds_failed") == "1");
    CHECK(find(*line, "store_ms") == "40");
    CHECK(serves("fescuevane_hold_replies_total{answered=\"true\"} 2\n"));
    CHECK(serves("fescuevane_lease_left_seconds_count 2\n"));
}

TEST_CASE_FIXTURE(load_fixture, "processor time, of a part, served by its name")
{
    {
        load_scope const scope(meter_, "holds");
        int volatile sum = 0;
        for (int i = 0; i < 5'000'000; ++i)
        {
            sum = sum + i;
        }
    }
    now_ = now_.after(2 * micros_per_second);
    auto const line = tick_late(0);
    REQUIRE(line);
    CHECK(find(*line, "busiest") == "holds");
    CHECK(serves("fescuevane_cpu_microseconds_total{part=\"holds\"} "));
    CHECK_FALSE(serves("fescuevane_cpu_microseconds_total{part=\"holds\"} 0"));
    CHECK(serves("fescuevane_cpu_microseconds_total{part=\"apply_events\"} "));
}

} // namespace
} // namespace fescuevane::platform

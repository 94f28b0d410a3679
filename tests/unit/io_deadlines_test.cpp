// Purpose: tests of deadlines behind the timer of the main loop.
#include "io/deadline_queue.hpp"
#include "io/main_loop.hpp"

#include <doctest/doctest.h>
#include <glib.h>

namespace fescuevane::io
{
namespace
{

struct deadlines_fixture
{
    deadline_queue        deadlines_;
    int                   fired_ = 0;
    deadline_queue::entry entry_;

    // Adds a deadline in 10 ms.
    void add()
    {
        constexpr std::int64_t soon_micros = 10'000;
        entry_ = deadlines_.add(read_clock().after(soon_micros),
                                [this]
                                {
                                    ++fired_;
                                });
    }

    // Runs the main loop until the deadline fires, at most for some time.
    void run_loop(std::int64_t micros)
    {
        instant const until = read_clock().after(micros);
        while (read_clock() < until && fired_ == 0)
        {
            g_main_context_iteration(nullptr, FALSE);
            constexpr gulong turn_micros = 1000;
            g_usleep(turn_micros);
        }
    }
};

TEST_CASE_FIXTURE(deadlines_fixture, "deadline, passes in time, fires once")
{
    add();
    run_loop(5'000'000);
    CHECK(fired_ == 1);
}

// Guards against calls that are given up though their replies have arrived: an
// owner without processor time lost all its targets at once.
TEST_CASE_FIXTURE(deadlines_fixture,
                  "loop late, reply has arrived, deadline doesn't fire")
{
    add();
    constexpr gulong stall_micros = 100'000;
    g_usleep(stall_micros);
    run_in_main_loop(
        [this]
        {
            deadlines_.remove(entry_);
        });
    run_loop(400'000);
    CHECK(fired_ == 0);
}

// Guards against calls without end in a process that is always late.
TEST_CASE_FIXTURE(deadlines_fixture, "loop late, no reply, fires once")
{
    add();
    constexpr gulong stall_micros = 100'000;
    g_usleep(stall_micros);
    run_loop(5'000'000);
    CHECK(fired_ == 1);
}

} // namespace
} // namespace fescuevane::io

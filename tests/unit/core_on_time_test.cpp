// Purpose: tests of the span in which a process has run on time.
#include "core/on_time_span.hpp"

#include <doctest/doctest.h>

namespace fescuevane
{
namespace
{

struct on_time_fixture
{
    std::int64_t const late_micros_ = 250;
    std::int64_t const answer_micros_ = 400;
    std::int64_t const bound_micros_ = 10'000;
    instant const      began_ = instant(100'000);
    on_time_span const span_ = on_time_span(began_);

    on_time_span tick(std::int64_t due, std::int64_t now) const
    {
        return span_.after_tick(began_.after(due), began_.after(now),
                                late_micros_);
    }

    instant put_off(instant deadline) const
    {
        return span_.put_off(deadline, answer_micros_, bound_micros_);
    }
};

// Guards against a process that takes the delays of a busy machine for late
// ticks and never judges a silence.
TEST_CASE_FIXTURE(on_time_fixture, "tick, late by the bound, ends no span")
{
    CHECK(tick(1000, 1000) == span_);
    CHECK(tick(1000, 1250) == span_);
}

// Guards against a process without processor time that takes itself for well.
TEST_CASE_FIXTURE(on_time_fixture, "tick, later than the bound, begins a span")
{
    CHECK(tick(1000, 1251) == on_time_span(began_.after(1251)));
    CHECK(tick(1000, 1251) > span_);
}

// Guards against a tick that is early, or has no deadline, and looks late.
TEST_CASE_FIXTURE(on_time_fixture, "tick, not due yet or never, ends no span")
{
    CHECK(tick(1000, 10) == span_);
    CHECK(span_.after_tick(instant::never(), instant::never(), late_micros_) ==
          span_);
}

// Guards against a wait that is longer though the process ran on time.
TEST_CASE_FIXTURE(on_time_fixture, "word, read in the span, counts as read")
{
    instant const word = began_.after(1);
    CHECK(span_.count_silence_from(word, bound_micros_) == word);
}

// Guards against a silence that is counted from before the process read what
// was sent meanwhile.
TEST_CASE_FIXTURE(on_time_fixture, "word, read before the span, counts from it")
{
    instant const word = began_.after(-bound_micros_);
    CHECK(span_.count_silence_from(word, bound_micros_) == began_);
}

// Guards against a silence that a process late again and again never notices.
TEST_CASE_FIXTURE(on_time_fixture,
                  "word, long before the span, keeps the bound")
{
    instant const word = began_.after(-bound_micros_ - 1);
    CHECK(span_.count_silence_from(word, bound_micros_) == began_.after(-1));
}

// Guards against a deadline that passes before the answers are read that
// arrived in time.
TEST_CASE_FIXTURE(on_time_fixture,
                  "deadline, passed before the span, leaves time for answers")
{
    CHECK(put_off(began_.after(-1)) == began_.after(answer_micros_));
    CHECK(put_off(began_.after(1)) == began_.after(answer_micros_));
}

// Guards against deadlines that move though the process ran on time long
// enough, and against ones without a deadline that get one.
TEST_CASE_FIXTURE(on_time_fixture,
                  "deadline, later than answers or never, stays")
{
    instant const later = began_.after(answer_micros_ + 1);
    CHECK(put_off(later) == later);
    CHECK(put_off(instant::never()) == instant::never());
}

// Guards against a judgement that a process late again and again never makes.
TEST_CASE_FIXTURE(on_time_fixture,
                  "deadline, long before the span, keeps the bound")
{
    instant const deadline = began_.after(-bound_micros_);
    CHECK(put_off(deadline) == began_);
}

} // namespace
} // namespace fescuevane

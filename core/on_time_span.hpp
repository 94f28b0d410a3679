// Purpose: since when a process has run on time, which decides from when it may
// count the silence of others.
#ifndef FESCUEVANE_CORE_ON_TIME_SPAN_HPP
#define FESCUEVANE_CORE_ON_TIME_SPAN_HPP

#include "core/instant.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace fescuevane
{

// A process that runs its ticks late hasn't read what others sent meanwhile, so
// their silence counts only while it runs on time. A bound keeps a process that
// is late again and again from waiting for ever for what is gone.
class on_time_span
{
public:
    constexpr on_time_span() = default; // since the start of the clock
    constexpr explicit on_time_span(instant since) : since_(since) {}

    constexpr instant since() const { return since_; }

    // The span after a tick at `now` that was due at `due`. A tick that is more
    // than `late_micros` late begins a new one.
    constexpr on_time_span after_tick(instant due, instant now,
                                      std::int64_t late_micros) const
    {
        return due.after(late_micros) < now ? on_time_span(now) : *this;
    }

    // From when the silence of a sender counts that was last heard at `word`:
    // the later of the two, at most `bound_micros` after `word`.
    constexpr instant count_silence_from(instant      word,
                                         std::int64_t bound_micros) const
    {
        return put_off(word, 0, bound_micros);
    }

    // When to judge a sender that is silent at `deadline`: not before the span
    // has lasted for `answer_micros`, in which its answers are read, and at
    // most `bound_micros` after `deadline`.
    constexpr instant put_off(instant deadline, std::int64_t answer_micros,
                              std::int64_t bound_micros) const
    {
        return std::max(deadline, std::min(since_.after(answer_micros),
                                           deadline.after(bound_micros)));
    }

    friend constexpr auto operator<=>(on_time_span const&,
                                      on_time_span const&) = default;

private:
    instant since_; // end of the latest late tick
};

} // namespace fescuevane

#endif

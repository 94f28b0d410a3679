// Purpose: times at which the callers of refused jobs may come back.
#include "plan/promise_returns.hpp"

#include "plan/planner.hpp"

#include <algorithm>

namespace fescuevane::plan
{
namespace
{

// A caller's clock and the network may make a return this much too early.
constexpr std::int64_t early_return_micros = 50'000;

// Part of the room for returning callers that those of organisations above
// their rate get, so that callers within it who come later find room before
// them.
constexpr double over_rate_part = 0.5;

constexpr std::int64_t rate_window_micros = micros_per_second;

bool may_precede(promise_row const& a, promise_row const& b)
{
    return a.within_rate_ == b.within_rate_ || a.within_rate_;
}

// Earliest time that keeps the order of the refusals.
instant find_earliest(planner const& context, promise_row const& wanted)
{
    instant earliest = wanted.return_at_;
    for (promise_row const& row : context.promises_)
    {
        if (!row.kept_ && may_precede(row, wanted))
        {
            earliest = std::max(earliest, row.return_at_);
        }
    }
    return earliest;
}

// True when no second that ends at `at` or begins there has more returns than
// its share of the room that comes free. A job larger than that is alone.
bool has_room_for_return(planner const& context, promise_row const& wanted,
                         double share, instant at)
{
    double const most = context.forecast_.freed_per_ms_ * share *
                        (wanted.within_rate_ ? 1 : over_rate_part) *
                        static_cast<double>(rate_window_micros) /
                        micros_per_milli;
    std::int64_t before = 0;
    std::int64_t after = 0;
    for (promise_row const& row : context.promises_)
    {
        bool const near = !row.kept_ &&
                          row.return_at_.after(rate_window_micros) > at &&
                          at.after(rate_window_micros) > row.return_at_;
        if (near)
        {
            (row.return_at_ <= at ? before : after) += row.cpu_millis_;
        }
    }
    std::int64_t const others = std::max(before, after);
    return others == 0 ||
           static_cast<double>(others + wanted.cpu_millis_) <= most;
}

instant find_return(planner const& context, promise_row const& wanted,
                    double share, instant now)
{
    std::int64_t const step = context.settings_.return_step_micros_;
    instant const      last = now.after(context.settings_.max_return_micros_);
    instant const      earliest = find_earliest(context, wanted);
    std::int64_t const steps = std::max<std::int64_t>(
        1, (now.remaining_until(earliest) + step - 1) / step);
    instant at = now.after(steps * step);
    while (at < last && !has_room_for_return(context, wanted, share, at))
    {
        at = at.after(step);
    }
    return std::min(at, last);
}

} // namespace

instant promise_return(planner& context, job_id const& job,
                       promise_row const& wanted, double share, instant now)
{
    expire_promises(context, now);
    promise_row const* const known = context.promises_.find(job);
    if (known != nullptr && known->return_at_ > now)
    {
        return known->return_at_;
    }
    instant const at = find_return(context, wanted, share, now);
    if (known != nullptr ||
        context.promises_.size() < context.settings_.max_promises_)
    {
        promise_row&  row = context.promises_.ensure(job);
        instant const refused_at = known != nullptr ? row.refused_at_ : now;
        row = wanted;
        row.refused_at_ = refused_at;
        row.return_at_ = at;
        row.lapses_at_ = at.after(context.settings_.return_window_micros_);
    }
    return at;
}

std::optional<promise_row> find_kept_promise(planner&      context,
                                             job_id const& job, instant now)
{
    expire_promises(context, now);
    promise_row const* const known = context.promises_.find(job);
    if (known == nullptr || known->return_at_ > now.after(early_return_micros))
    {
        return std::nullopt;
    }
    return *known;
}

void close_promise(planner& context, job_id const& job, instant now)
{
    if (promise_row* const row = context.promises_.find(job))
    {
        row->kept_ = true;
        row->lapses_at_ = now.after(context.settings_.return_window_micros_);
    }
}

std::optional<instant> take_first_request(planner& context, job_id const& job)
{
    promise_row const* const row = context.promises_.find(job);
    if (row == nullptr || !row->kept_)
    {
        return std::nullopt;
    }
    instant const refused_at = row->refused_at_;
    context.promises_.remove(job);
    return refused_at;
}

void expire_promises(planner& context, instant now)
{
    for (std::size_t row = context.promises_.size(); row-- > 0;)
    {
        if (context.promises_[row].lapses_at_ <= now)
        {
            job_id const job = context.promises_.key(row);
            context.promises_.remove(job);
        }
    }
}

std::int64_t count_promised(planner const& context, queue_id const& queue,
                            instant until)
{
    std::int64_t millis = 0;
    for (promise_row const& row : context.promises_)
    {
        if (!row.kept_ && row.queue_ == queue && row.return_at_ <= until)
        {
            millis += row.cpu_millis_;
        }
    }
    return millis;
}

} // namespace fescuevane::plan

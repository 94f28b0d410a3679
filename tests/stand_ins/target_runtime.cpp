// Purpose: runs the targets of one process.
#include "tests/stand_ins/target_runtime.hpp"

#include "tests/stand_ins/batch_codec.hpp"
#include "tests/stand_ins/clock.hpp"
#include "tests/stand_ins/target_stream.hpp"

#include <algorithm>
#include <chrono>

namespace fescuevane::stand_ins
{

target_runtime::target_runtime(std::vector<host> const& hosts,
                               std::int64_t             usage_lag_micros,
                               std::string const&       history)
    : history_(history)
{
    // Larger than that of any earlier process on this machine.
    auto const incarnation = static_cast<std::uint64_t>(read_clock().micros());
    targets_.reserve(hosts.size());
    for (host const& each : hosts)
    {
        targets_.push_back({.host_ = each,
                            .usage_lag_micros_ = usage_lag_micros,
                            .incarnation_ = incarnation});
    }
    timers_ = std::jthread(
        [this](std::stop_token const& stop)
        {
            run_timers(stop);
        });
}

std::uint64_t target_runtime::open_stream(target_stream& stream)
{
    std::lock_guard const lock(mutex_);
    streams_.emplace(++last_stream_, &stream);
    return last_stream_;
}

void target_runtime::close_stream(std::size_t target, std::uint64_t stream)
{
    std::lock_guard const lock(mutex_);
    streams_.erase(stream);
    stand_ins::close_stream(targets_[target], stream);
}

void target_runtime::post_batch(std::size_t target, std::uint64_t stream,
                                v1::OwnerBatch const& message)
{
    std::lock_guard const lock(mutex_);
    target_context&       context = targets_[target];
    stand_ins::post_batch(
        context, decode_batch(message, context.host_, stream, read_clock()));
    run_target(context);
}

void target_runtime::change_targets(std::vector<std::string> const& names,
                                    change_function const&          change)
{
    std::lock_guard const lock(mutex_);
    for (target_context& context : targets_)
    {
        if (names.empty() ||
            std::find(names.begin(), names.end(),
                      context.host_.target_.str()) != names.end())
        {
            instant const now = read_clock();
            context.now_ = now;
            change(context, now);
            run_target(context);
        }
    }
}

void target_runtime::run_target(target_context& context)
{
    run_tick(context, read_clock());
    send_output(context);
    if (next_deadline(context) < wake_up_)
    {
        wake_up_ = next_deadline(context);
        changed_.notify_one();
    }
}

void target_runtime::send_output(target_context& context)
{
    for (history_entry const& entry : context.history_)
    {
        history_.append(entry);
    }
    for (target_report const& report : context.reports_)
    {
        auto const found = streams_.find(report.stream_);
        if (found != streams_.end())
        {
            v1::TargetBatch message;
            encode_report(report, context.host_, context.now_, message);
            found->second->send(std::move(message));
        }
    }
    for (std::uint64_t const stream : context.dropped_)
    {
        auto const found = streams_.find(stream);
        if (found != streams_.end())
        {
            found->second->drop();
        }
    }
    context.history_.clear();
    context.reports_.clear();
    context.dropped_.clear();
}

instant target_runtime::earliest_deadline() const
{
    instant earliest = instant::never();
    for (target_context const& context : targets_)
    {
        earliest = std::min(earliest, next_deadline(context));
    }
    return earliest;
}

void target_runtime::run_timers(std::stop_token const& stop)
{
    // An hour bounds the wait; the clock can't represent `never()`.
    constexpr std::int64_t longest_wait = 3600 * micros_per_second;
    std::unique_lock       lock(mutex_);
    while (!stop.stop_requested())
    {
        wake_up_ = earliest_deadline();
        instant const      armed = wake_up_;
        std::int64_t const wait =
            std::min(read_clock().remaining_until(armed), longest_wait);
        changed_.wait_for(lock, stop, std::chrono::microseconds(wait),
                          [this, armed]
                          {
                              return wake_up_ < armed;
                          });
        instant const now = read_clock();
        for (target_context& context : targets_)
        {
            if (next_deadline(context) <= now)
            {
                run_target(context);
            }
        }
    }
}

} // namespace fescuevane::stand_ins

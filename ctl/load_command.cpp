// Purpose: the command that sends load. Calls start at a fixed rate, whatever
// the servers' speed, and run asynchronously over one main loop.
//
// Index of sections
//   1. Systems
//   2. Tick
//   3. Command
#include "ctl/commands.hpp"
#include "ctl/ctl_error.hpp"
#include "ctl/fields.hpp"
#include "ctl/http_client.hpp"
#include "ctl/job_body.hpp"
#include "ctl/load_run.hpp"
#include "ctl/load_summary.hpp"
#include "ctl/options.hpp"
#include "ctl/printer.hpp"
#include "ctl/random_id.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace fescuevane::ctl
{
namespace
{

// Bounds the memory of the waiting times.
constexpr double max_calls = 1'000'000;

void run_tick(load_run& run);

// 1. Systems

constexpr std::array<std::string_view, 4> fault_names = {
    "", "no connection", "connection lost", "timed out"};

void record_end(load_run& run, std::int64_t due, http_reply const& reply)
{
    if (reply.fault_ != call_fault::none)
    {
        auto const fault = static_cast<std::size_t>(reply.fault_);
        ++run.ends_[std::string(fault_names.at(fault))];
        return;
    }
    json const        body = json::parse(reply.body_, nullptr, false);
    std::string const name = name_load_end(reply.status_, body);
    ++run.ends_[name];
    if (read_text(body, "state") == "answered")
    {
        run.waits_.push_back(g_get_monotonic_time() - due);
    }
}

void apply_ends(load_run& run)
{
    auto const ended = std::move(run.inbox_);
    run.inbox_.clear();
    for (auto const& [number, reply] : ended)
    {
        std::size_t const row = *run.index_.find(number);
        record_end(run, run.due_[row], reply);
        run.index_.remove_by_moving_last(row);
        run.due_.remove_by_moving_last(row);
    }
}

// Waiting times count from the moment a call is due, so that a slow server
// that delays later calls doesn't hide its delay.
std::int64_t find_due(load_run const& run, std::uint64_t number)
{
    double const micros =
        static_cast<double>(number) * 1e6 / run.context_.options_.rate_;
    return run.start_ + static_cast<std::int64_t>(micros);
}

void start_call(load_run& run, std::uint64_t number)
{
    options const&    values = run.context_.options_;
    std::size_t const server = number % run.context_.client_.count_servers();
    run.index_.append(number);
    run.due_.append(find_due(run, number));
    run.context_.client_.start(
        server,
        {.method_ = "POST",
         .path_ = "/v1/jobs",
         .body_ = build_job_body(values, make_job_id())},
        static_cast<std::int64_t>(values.timeout_s_ * 1000),
        [&run, number](http_reply const& reply)
        {
            run.inbox_.emplace_back(number, reply);
            run_tick(run);
        });
}

void start_due_calls(load_run& run)
{
    std::int64_t const now = g_get_monotonic_time();
    while (run.next_ < run.planned_ && now < run.end_ &&
           run.index_.size() < run.context_.options_.concurrency_ &&
           find_due(run, run.next_) <= now)
    {
        start_call(run, run.next_++);
    }
}

bool may_start_more(load_run const& run)
{
    return run.next_ < run.planned_ && g_get_monotonic_time() < run.end_;
}

gboolean run_due_tick(gpointer data)
{
    auto& run = *static_cast<load_run*>(data);
    run.timer_ = 0;
    run_tick(run);
    return G_SOURCE_REMOVE;
}

// The timer wakes the loop for the next due call; with all connections in use
// the next end does.
void arm_timer(load_run& run)
{
    if (run.timer_ == 0 && may_start_more(run) &&
        run.index_.size() < run.context_.options_.concurrency_)
    {
        std::int64_t const wait =
            find_due(run, run.next_) - g_get_monotonic_time();
        run.timer_ = g_timeout_add(
            static_cast<guint>(std::max<std::int64_t>(wait / 1000, 1)),
            &run_due_tick, &run);
    }
}

// 2. Tick

struct system_entry
{
    std::string_view name_;
    void (*run_)(load_run& run);
};

constexpr std::array<system_entry, 3> systems = {{
    {"apply ends", &apply_ends},
    {"start due calls", &start_due_calls},
    {"arm timer", &arm_timer},
}};

void run_tick(load_run& run)
{
    for (system_entry const& system : systems)
    {
        system.run_(run);
    }
}

// 3. Command

std::uint64_t count_calls(options const& values)
{
    double const calls = values.rate_ * values.seconds_;
    if (calls > max_calls)
    {
        throw ctl_error(exit_code::usage,
                        "more than 1000000 calls: lower --rate or --seconds");
    }
    return std::max<std::uint64_t>(static_cast<std::uint64_t>(calls), 1);
}

exit_code rate_load(load_run const& run)
{
    auto const answered = run.ends_.find("answered");
    bool const complete =
        answered != run.ends_.end() && answered->second == run.planned_;
    return complete ? exit_code::done : exit_code::failed;
}

} // namespace

exit_code send_load(context& context)
{
    options const&     values = context.options_;
    std::int64_t const start = g_get_monotonic_time();
    load_run           run{.context_ = context,
                           .start_ = start,
                           .end_ =
                     start + static_cast<std::int64_t>(values.seconds_ * 1e6),
                           .planned_ = count_calls(values)};
    run_tick(run);
    while (run.timer_ != 0 || run.index_.size() > 0)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    context.printer_.print_record_(
        context.output_,
        summarize_load(run.planned_, run.next_, run.ends_, run.waits_,
                       g_get_monotonic_time() - start));
    return rate_load(run);
}

} // namespace fescuevane::ctl

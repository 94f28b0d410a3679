// Purpose: life of a target, its tick and its timers.
//
// Index of sections
//   1. Input
//   2. Ticks
//   3. Tasks
//   4. Systems
#include "tests/stand_ins/target_context.hpp"

#include "core/names.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <utility>

namespace fescuevane::stand_ins
{

// 1. Input

void post_batch(target_context& context, owner_batch const& batch)
{
    context.inbox_.push_back(batch);
}

void close_stream(target_context& context, std::uint64_t stream)
{
    // Batches that were not read are lost with their stream.
    std::vector<owner_batch> kept;
    for (owner_batch const& batch : context.inbox_)
    {
        if (batch.stream_ != stream)
        {
            kept.push_back(batch);
        }
    }
    context.inbox_ = std::move(kept);
    if (context.stream_ == stream)
    {
        context.stream_ = 0;
        context.changes_.clear(); // the next snapshot has them
    }
}

void set_switches(target_context& context, target_switches const& value)
{
    bool const was_leaving = context.switches_[0].leaving_;
    context.switches_.replace(0, value);
    if (was_leaving != value.leaving_)
    {
        context.owes_ = true;
        note_history(context, value.leaving_ ? "leaving" : "staying");
    }
}

void drop_streams(target_context& context)
{
    if (context.stream_ != 0)
    {
        context.dropped_.push_back(context.stream_);
        close_stream(context, context.stream_);
    }
}

void crash_target(target_context& context, instant now)
{
    context.now_ = now;
    note_history(context, "crash");
    drop_streams(context);
    while (context.running_.index_.size() > 0)
    {
        end_task(context, 0, outcome::failed, "crash");
    }
    context.inbox_.clear();
    context.changes_.clear();
    context.ended_ = {};
    context.seen_.clear();
    context.stopped_.clear();
    context.echo_ = {};
    context.lease_deadline_ = instant::never();
    ++context.incarnation_;
}

// 2. Ticks

namespace
{

struct system_entry
{
    std::string_view const name_;
    void (*const run_)(target_context&);
};

// Leases come first, so that a late batch can't renew an expired one. Ends
// come again after starts, for tasks without run time.
constexpr std::array<system_entry, 6> systems = {{
    {"expire lease", &expire_lease},
    {"end tasks", &end_tasks},
    {"apply batches", &apply_batches},
    {"end started tasks", &end_tasks},
    {"report usage", &report_usage},
    {"emit reports", &emit_reports},
}};

} // namespace

void run_tick(target_context& context, instant now)
{
    context.now_ = now;
    for (system_entry const& system : systems)
    {
        system.run_(context);
    }
}

instant next_deadline(target_context const& context)
{
    instant earliest =
        std::min(context.lease_deadline_, context.usage_deadline_);
    for (instant const end : context.running_.end_deadline_)
    {
        earliest = std::min(earliest, end);
    }
    return earliest;
}

// 3. Tasks

void note_history(target_context& context, std::string const& event,
                  decide::start_task const* task, std::string const& reason,
                  std::string const& outcome)
{
    context.history_.push_back(
        {.time_ = context.now_,
         .event_ = event,
         .target_ = context.host_.target_,
         .domain_ = context.host_.domain_,
         .shard_ = context.shard_,
         .epoch_ = context.epoch_,
         .outcome_ = outcome,
         .reason_ = reason,
         .task_ = task == nullptr ? std::nullopt : std::optional(*task)});
}

void end_task(target_context& context, std::size_t row, outcome result,
              std::string const& reason, bool checkpointed)
{
    decide::start_task const start = context.running_.start_[row];
    bool const               answers = result == outcome::succeeded;
    decide::task_ended const end{
        .task_ = start.task_,
        .target_ = context.host_.target_,
        .outcome_ = result,
        .body_ = answers ? make_answer(context.running_.work_[row]) : nullptr,
        .reason_ = reason,
        .checkpointed_ = checkpointed};
    remove_running(context.running_, row);
    append_ended(context.ended_, start, end);
    context.changes_.push_back({.event_ = end});
    ++context.counters_.ends_;
    note_history(context, "end", &start, reason,
                 std::string(format_name(result)));
}

std::size_t count_body(status_entry const& entry)
{
    auto const* end = std::get_if<decide::task_ended>(&entry.event_);
    return end != nullptr && end->body_ ? end->body_->size() : 0;
}

// 4. Systems

void expire_lease(target_context& context)
{
    if (context.lease_deadline_ > context.now_)
    {
        return;
    }
    context.lease_deadline_ = instant::never();
    if (context.running_.index_.size() > 0)
    {
        ++context.counters_.lapses_;
        note_history(context, "lapse");
    }
    while (context.running_.index_.size() > 0)
    {
        end_task(context, 0, outcome::failed, "lease expired");
    }
}

void end_tasks(target_context& context)
{
    for (std::size_t row = context.running_.index_.size(); row-- > 0;)
    {
        if (context.running_.end_deadline_[row] > context.now_)
        {
            continue;
        }
        std::string const reason = context.running_.work_[row].fail_reason_;
        end_task(context, row,
                 reason.empty() ? outcome::succeeded : outcome::failed, reason);
    }
}

void report_usage(target_context& context)
{
    running_table const& running = context.running_;
    if (running.index_.size() == 0)
    {
        context.usage_deadline_ = instant::never();
        return;
    }
    if (context.usage_deadline_ == instant::never())
    {
        context.usage_deadline_ = context.now_.after(context.usage_lag_micros_);
    }
    if (context.usage_deadline_ > context.now_)
    {
        return;
    }
    context.usage_deadline_ = context.now_.after(context.usage_lag_micros_);
    for (std::size_t row = 0; row < running.index_.size(); ++row)
    {
        resources const& reserved = running.start_[row].reservation_;
        context.changes_.push_back(
            {.event_ = decide::usage_reported{running.index_.key(row),
                                              {used_cpu(running, row),
                                               reserved.memory_mib(),
                                               reserved.accelerators()}}});
    }
}

namespace
{

void emit_report(target_context& context, std::vector<status_entry> entries)
{
    context.reports_.push_back({.stream_ = context.stream_,
                                .incarnation_ = context.incarnation_,
                                .epoch_ = context.epoch_,
                                .leaving_ = context.switches_[0].leaving_,
                                .tasks_ = std::move(entries)});
}

} // namespace

void emit_reports(target_context& context)
{
    if (context.switches_[0].frozen_)
    {
        return;
    }
    std::vector<status_entry> const changes =
        std::exchange(context.changes_, {});
    bool const owes = std::exchange(context.owes_, false);
    if (context.stream_ == 0 || (changes.empty() && !owes))
    {
        return; // the next snapshot has the changes
    }
    std::vector<status_entry> entries;
    std::size_t               bytes = 0;
    for (status_entry const& entry : changes)
    {
        if (!entries.empty() && bytes + count_body(entry) > report_body_bytes)
        {
            emit_report(context, std::exchange(entries, {}));
            bytes = 0;
        }
        bytes += count_body(entry);
        entries.push_back(entry);
    }
    emit_report(context, std::move(entries));
}

} // namespace fescuevane::stand_ins

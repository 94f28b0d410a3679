// Purpose: the system that applies what owners sent to a target.
#include "tests/stand_ins/target_context.hpp"

#include <string>
#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

// 1. Attachment

target_report make_snapshot(target_context const& context)
{
    std::vector<status_entry> entries;
    for (decide::start_task const& start : context.running_.start_)
    {
        entries.push_back(
            {decide::task_started{start.task_, start.target_}, start});
    }
    for (std::size_t row = 0; row < context.ended_.index_.size(); ++row)
    {
        entries.push_back(
            {context.ended_.end_[row], context.ended_.start_[row]});
    }
    return {.stream_ = context.stream_,
            .incarnation_ = context.incarnation_,
            .epoch_ = context.epoch_,
            .snapshot_ = true,
            .leaving_ = context.switches_[0].leaving_,
            .tasks_ = std::move(entries)};
}

void send_fenced(target_context& context, std::uint64_t stream)
{
    context.reports_.push_back({.stream_ = stream,
                                .incarnation_ = context.incarnation_,
                                .epoch_ = context.epoch_,
                                .fenced_ = true,
                                .leaving_ = context.switches_[0].leaving_});
}

void fence_batch(target_context& context, owner_batch const& batch)
{
    ++context.counters_.fenced_;
    send_fenced(context, batch.stream_);
    note_history(context, "fenced", nullptr,
                 "epoch " + std::to_string(batch.epoch_));
}

// Tells the earlier owner at once that its epoch has passed.
void raise_epoch(target_context& context, owner_batch const& batch)
{
    context.epoch_ = batch.epoch_;
    context.shard_ = batch.shard_;
    note_history(context, "epoch");
    if (context.stream_ != 0 && context.stream_ != batch.stream_)
    {
        send_fenced(context, context.stream_);
        context.stream_ = 0;
    }
}

// The snapshot follows the first batch of a stream, not its opening: only
// then no earlier owner can start anything after the snapshot.
void attach_stream(target_context& context, owner_batch const& batch)
{
    drop_streams(context); // an earlier stream of the same owner
    context.stream_ = batch.stream_;
    context.attached_ = batch.stream_;
    context.changes_.clear();
    context.reports_.push_back(make_snapshot(context));
}

// 2. Commands

void reject_start(target_context& context, decide::start_task const& start,
                  std::string const& reason)
{
    ++context.counters_.rejects_;
    context.changes_.push_back(
        {.event_ = decide::task_rejected{start.task_, start.target_, reason}});
    note_history(context, "reject", &start, reason);
}

bool has_room(target_context const& context, decide::start_task const& start)
{
    return context.running_.index_.size() < context.host_.slots_ &&
           (sum_reservations(context.running_) + start.reservation_)
               .fits_in(context.host_.capacity_);
}

void run_start(target_context& context, decide::start_task const& start,
               task_work const& work)
{
    ++context.counters_.starts_;
    append_running(context.running_, start, work, context.now_);
    context.changes_.push_back(
        {.event_ = decide::task_started{start.task_, start.target_}});
    note_history(context, "start", &start);
    if (context.switches_[0].fail_tasks_)
    {
        end_task(context, context.running_.index_.size() - 1, outcome::failed,
                 "the target fails every task");
    }
}

void apply_start(target_context& context, decide::start_task const& start)
{
    if (!context.seen_.insert(start.task_).second)
    {
        return; // a duplicate
    }
    if (context.stopped_.contains(start.task_))
    {
        reject_start(context, start, "stopped before its start");
        return;
    }
    if (!has_room(context, start))
    {
        ++context.counters_.overcommits_;
        reject_start(context, start, "overcommit");
        return;
    }
    run_start(context, start, parse_work(start.spec_->payload_));
}

void apply_stop(target_context& context, decide::stop_task const& stop)
{
    if (auto const row = context.running_.index_.find(stop.task_))
    {
        end_task(context, *row, outcome::canceled,
                 stop.checkpoint_ ? "checkpointed" : "stopped",
                 stop.checkpoint_);
    }
    else if (auto const end = context.ended_.index_.find(stop.task_))
    {
        context.changes_.push_back({.event_ = context.ended_.end_[*end]});
    }
    else if (!context.seen_.contains(stop.task_))
    {
        context.stopped_.insert(stop.task_);
        context.changes_.push_back(
            {.event_ = decide::task_rejected{stop.task_, stop.target_,
                                             "stopped before its start"}});
    }
}

void apply_commands(target_context& context, owner_batch const& batch)
{
    for (task_key const& key : batch.acknowledged_ends_)
    {
        if (auto const row = context.ended_.index_.find(key))
        {
            remove_ended(context.ended_, *row);
        }
    }
    // Starts before stops: a batch may start a task and cancel it again.
    for (decide::start_task const& start : batch.starts_)
    {
        apply_start(context, start);
    }
    for (decide::stop_task const& stop : batch.stops_)
    {
        apply_stop(context, stop);
    }
    for (decide::throttle_task const& throttle : batch.throttles_)
    {
        if (auto const row = context.running_.index_.find(throttle.task_))
        {
            limit_cpu(context.running_, *row, throttle.cpu_millis_,
                      context.now_);
        }
    }
}

void apply_batch(target_context& context, owner_batch const& batch)
{
    if (batch.epoch_ < context.epoch_)
    {
        fence_batch(context, batch);
        return;
    }
    if (batch.epoch_ > context.epoch_)
    {
        raise_epoch(context, batch);
    }
    else if (batch.stream_ < context.attached_)
    {
        return; // the owner replaced this stream by a later one
    }
    if (batch.stream_ != context.stream_)
    {
        attach_stream(context, batch);
    }
    context.lease_deadline_ = context.now_.after(batch.lease_micros_);
    context.owes_ = true; // each batch is answered, so that owners see a freeze
    apply_commands(context, batch);
}

} // namespace

void apply_batches(target_context& context)
{
    if (context.switches_[0].frozen_)
    {
        return;
    }
    std::vector<owner_batch> const inbox = std::exchange(context.inbox_, {});
    for (owner_batch const& batch : inbox)
    {
        apply_batch(context, batch);
    }
}

} // namespace fescuevane::stand_ins

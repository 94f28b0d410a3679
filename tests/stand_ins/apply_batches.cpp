// Purpose: the system that applies what owners sent to a target.
#include "tests/stand_ins/target_context.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

// 1. Attachment

std::size_t count_payload(decide::start_task const& start)
{
    return start.spec_->payload_ ? start.spec_->payload_->size() : 0;
}

// Leaves out the largest payloads until the snapshot fits into a report.
std::vector<status_entry> fit_payloads(std::vector<status_entry> const& entries)
{
    std::vector<std::size_t> order(entries.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(),
                     [&entries](std::size_t left, std::size_t right)
                     {
                         return count_payload(*entries[left].start_) >
                                count_payload(*entries[right].start_);
                     });
    std::size_t bytes = 0;
    for (status_entry const& entry : entries)
    {
        bytes += count_body(entry) + count_payload(*entry.start_);
    }
    std::vector<bool> omitted(entries.size(), false);
    for (std::size_t const row : order)
    {
        if (bytes <= report_body_bytes)
        {
            break;
        }
        omitted[row] = true;
        bytes -= count_payload(*entries[row].start_);
    }
    std::vector<status_entry> fitted;
    for (std::size_t row = 0; row < entries.size(); ++row)
    {
        fitted.push_back(
            {entries[row].event_, entries[row].start_, omitted[row]});
    }
    return fitted;
}

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
            .tasks_ = fit_payloads(entries)};
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
    context.attachment_ = 0; // each epoch counts anew
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
    if (context.stream_ != batch.stream_)
    {
        drop_streams(context); // an earlier stream of the same owner
    }
    context.stream_ = batch.stream_;
    context.attached_ = batch.stream_;
    context.attachment_ = batch.attachment_;
    context.changes_.clear();
    context.reports_.push_back(make_snapshot(context));
}

// Attachments decide, because the streams of two links may open in any order.
bool is_replaced(target_context const& context, owner_batch const& batch)
{
    return batch.attachment_ < context.attachment_ ||
           (batch.attachment_ == context.attachment_ &&
            batch.stream_ < context.attached_);
}

// 2. Leases

// Whether the leases that a batch grants end in the future. An echo ahead of
// the clock was not read from it, and grants nothing.
bool grants_lease(target_context const& context, owner_batch const& batch)
{
    return batch.echo_ > instant() && batch.echo_ <= context.now_ &&
           batch.echo_.after(batch.lease_micros_) > context.now_;
}

void renew_lease(target_context& context, owner_batch const& batch)
{
    if (grants_lease(context, batch))
    {
        context.echo_ = std::max(context.echo_, batch.echo_);
        context.lease_deadline_ = context.echo_.after(batch.lease_micros_);
    }
}

// 3. Commands

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

void apply_start(target_context& context, decide::start_task const& start,
                 bool leased)
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
    if (!leased)
    {
        reject_start(context, start, "lease expired");
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
        apply_start(context, start, grants_lease(context, batch));
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
    else if (is_replaced(context, batch))
    {
        return; // the owner replaced this link by a later one
    }
    if (batch.stream_ != context.stream_ ||
        batch.attachment_ > context.attachment_)
    {
        attach_stream(context, batch);
    }
    renew_lease(context, batch);
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

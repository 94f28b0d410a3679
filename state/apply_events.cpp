// Purpose: the system that applies posted events to the tables, one function a
// kind of event.
#include "state/control.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{
namespace
{

// Rows are merged whoever asked for them: versions tell which ones are new.
void apply(control& context, rows_read const& input)
{
    store_client& store = context.store_;
    for (table_row const& row : input.rows_)
    {
        merge_row(context, row);
    }
    if (input.request_ != store.read_request_ || input.request_ == 0)
    {
        return; // a late reply
    }
    store.read_request_ = 0;
    store.read_failures_ = 0;
    store.contact_ = context.now_;
    if (auto const shard = std::exchange(store.read_shard_, std::nullopt))
    {
        finish_loading(context, *shard, input);
        return;
    }
    store.revision_ = std::max(store.revision_, input.revision_);
    if (!std::exchange(store.loaded_, true))
    {
        mark_limited_teams(context, *context.effective_);
    }
    ++store.reads_ended_;
    context.shards_changed_ = true;
}

void apply(control& context, commit_ended const& input)
{
    context.store_.contact_ = context.now_;
    end_commit(context, input);
}

void apply(control& context, store_failed const& input)
{
    note_store_failure(context, input.request_);
}

void apply(control& context, peer_seen const& input)
{
    if (input.host_ == context.settings_.host_)
    {
        return;
    }
    settings const&   values = context.settings_;
    peer_table&       peers = context.peers_;
    std::size_t const row = ensure_peer(peers, input.host_, {}, {});
    peers.domain_[row] = input.domain_;
    peers.address_[row] = input.address_;
    peers.suspect_deadline_[row] =
        context.now_.after(values.suspect_after_micros_);
    peers.forget_deadline_[row] =
        context.now_.after(values.host_forget_micros_);
    bool const leaving = input.leaving_;
    if (peers.live_[row] == 0 || (peers.leaving_[row] != 0) != leaving)
    {
        peers.live_since_[row] = context.now_;
        context.shards_changed_ = true;
    }
    peers.live_[row] = 1;
    peers.leaving_[row] = leaving ? 1 : 0;
    if (input.domain_ != values.domain_)
    {
        context.foreign_contact_ = context.now_;
    }
    // A peer that knows more tells that the store has changed.
    if (input.committed_ > context.committed_->number_ ||
        input.accepted_ > context.accepted_->number_)
    {
        request_read(context);
    }
}

void apply(control& context, state_received const& input)
{
    merge_snapshot(context, input.snapshot_);
}

void apply(control& context, ticket_filed const& input)
{
    if (!context.filings_.index_.contains(input.call_))
    {
        append_filing(context.filings_, input.call_, input.text_);
    }
}

void apply(control& context, load_noted const& input)
{
    note_load(context, input);
}

void apply(control& context, job_record const& input)
{
    queue_record(context, input);
}

void apply(control& context, grants_wanted const& input)
{
    want_grants(context, input);
}

void apply(control& context, shard_ready const& input)
{
    shard_table& shards = context.shards_;
    auto const   row = shards.index_.find(input.shard_);
    if (row && is_serving(shards, *row) &&
        input.epoch_ == shards.served_epoch_[*row])
    {
        shards.ready_epoch_[*row] = input.epoch_;
        context.acks_changed_ = true;
    }
}

void apply(control& context, shard_fenced const& input)
{
    auto const row = context.shards_.index_.find(input.shard_);
    if (row && context.shards_.phase_[*row] != shard_phase::foreign &&
        input.epoch_ > context.shards_.served_epoch_[*row])
    {
        release_shard(context, *row, "a target has seen a higher epoch");
        context.shards_.lost_epoch_[*row] =
            std::max(context.shards_.lost_epoch_[*row], input.epoch_);
        request_read(context);
    }
}

void apply(control& context, stop_requested const& /*input*/)
{
    context.stopping_ = true;
    context.shards_changed_ = true;
}

} // namespace

instant apply_events(control& context)
{
    std::vector<event> const inbox = std::exchange(context.inbox_, {});
    for (event const& input : inbox)
    {
        std::visit(
            [&context](auto const& value)
            {
                apply(context, value);
            },
            input);
    }
    return instant::never();
}

} // namespace fescuevane::state

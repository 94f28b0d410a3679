// Purpose: system and events: stores on which targets of a shard leases may be
// running.
//
// Placements aren't stored, so only the targets know what runs. The next owner
// has to reach each of them, or wait until nothing can run there any more. The
// list of targets doesn't name those that are cut off from the store, so a
// target is named in the row of its shard before the first start is sent to it.
#include "cell/node.hpp"

#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "cell/sessions.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace fescuevane::cell
{
namespace
{

constexpr char const* grant_table = "grant";

// Part of the fence row that a claim writes first.
constexpr std::uint32_t grant_fence_part = 0;

// Removed targets are taken out of the row with the next write, or after this
// time.
constexpr std::int64_t grants_trim_delay_micros = 2'000'000;

row_key key_of(shard_id const& shard)
{
    return {grant_table, std::to_string(grant_fence_part),
            write_shard_name(shard)};
}

// Targets without work are left out of the row: each further owner would wait
// for them.
granted_targets list_targets_with_work(node const&     context,
                                       shard_id const& shard)
{
    granted_targets in_use;
    for (std::size_t row = 0; row < context.sessions_.size(); ++row)
    {
        session_row const& session = context.sessions_[row];
        if (session.open_ && session.shard_ == shard &&
            may_have_work(context, session))
        {
            in_use[context.sessions_.key(row)] = session.info_;
        }
    }
    return in_use;
}

// Compares what a successor relies on: it queries an unlisted target at its
// stored address, and waits for the ends of one that didn't announce that it
// leaves.
bool has_same_stored_info(listed_target const& a, listed_target const& b)
{
    return a.address_ == b.address_ && a.leaving_ == b.leaving_;
}

bool have_same_targets(granted_targets const& a, granted_targets const& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](auto const& left, auto const& right)
                      {
                          return left.first == right.first &&
                                 has_same_stored_info(*left.second,
                                                      *right.second);
                      });
}

// The planner starts work only on targets that the stored row names.
void set_stored(node& context, grant_ledger& ledger, granted_targets targets)
{
    granted_targets const before = std::exchange(ledger.stored_, targets);
    targets.insert(before.begin(), before.end());
    for (auto const& [id, info] : targets)
    {
        session_row const* const session = context.sessions_.find(id);
        if (session != nullptr && session->open_)
        {
            update_planner_target(context, id);
        }
    }
}

// An unanswered write may be performed later, so only targets that the row
// names both with and without it are certain.
granted_targets list_confirmed_targets(grant_ledger const& ledger)
{
    granted_targets confirmed = ledger.stored_;
    std::erase_if(confirmed,
                  [&ledger](auto const& entry)
                  {
                      auto const written = ledger.writing_.find(entry.first);
                      return written == ledger.writing_.end() ||
                             !has_same_stored_info(*written->second,
                                                   *entry.second);
                  });
    return confirmed;
}

// Returns nothing when the row is malformed.
std::optional<granted_targets> read_stored(node& context, stored_row const& row)
{
    try
    {
        return row.revision_ == 0 ? granted_targets() : read_grants(row.value_);
    }
    catch (record_error const& error)
    {
        log_event(context, "row_unreadable",
                  {{"key", row.key_.key_}, {"error", error.what()}});
        return std::nullopt;
    }
}

void write_grant_row(node& context, shard_id const& shard, owned_row& own,
                     granted_targets targets)
{
    grant_ledger& ledger = own.grants_;
    ledger.request_ = next_request(context);
    ledger.writing_ = std::move(targets);
    // A target that the write takes out may come back before the reply does.
    ledger.unsettled_ = true;
    set_stored(context, ledger, list_confirmed_targets(ledger));
    context.requests_.ensure(ledger.request_) = {.kind_ =
                                                     request_kind::record_grant,
                                                 .shard_ = shard,
                                                 .sent_ = context.now_};
    context.outbox_.push_back(store_transact{
        .request_ = ledger.request_,
        .conditions_ = {{write_fence_key(shard, grant_fence_part),
                         own.parts_[grant_fence_part].fence_},
                        {key_of(shard), ledger.revision_}},
        .writes_ = {{key_of(shard), write_grants(ledger.writing_)}},
        .deadline_ = store_deadline(context)});
}

} // namespace

bool is_granted(node const& context, target_id const& target)
{
    session_row const&     session = *context.sessions_.find(target);
    owned_row const* const own = context.owned_.find(session.shard_);
    if (own == nullptr)
    {
        return false;
    }
    auto const entry = own->grants_.stored_.find(target);
    return entry != own->grants_.stored_.end() &&
           has_same_stored_info(*entry->second, *session.info_);
}

void note_grants_changed(node& context, shard_id const& shard, bool urgent)
{
    if (owned_row* const own = context.owned_.find(shard))
    {
        own->grants_.write_at_ =
            std::min(own->grants_.write_at_,
                     urgent ? context.now_
                            : context.now_.after(grants_trim_delay_micros));
        wake_at(context, own->grants_.write_at_);
    }
}

void load_grants(node& context, shard_id const& shard, owned_row& own)
{
    grant_ledger& ledger = own.grants_;
    if (ledger.loaded_ || ledger.request_ != 0)
    {
        return;
    }
    if (ledger.retry_at_ > context.now_)
    {
        wake_at(context, ledger.retry_at_);
        return;
    }
    ledger.request_ = next_request(context);
    context.requests_.ensure(ledger.request_) = {.kind_ =
                                                     request_kind::load_grants,
                                                 .shard_ = shard,
                                                 .sent_ = context.now_};
    row_key const key = key_of(shard);
    context.outbox_.push_back(store_read{.request_ = ledger.request_,
                                         .table_ = key.table_,
                                         .part_ = key.part_,
                                         .from_ = key.key_,
                                         .to_ = key.key_ + "!",
                                         .deadline_ = store_deadline(context)});
}

void end_load_grants(node& context, request_row const& request,
                     store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    grant_ledger& ledger = own->grants_;
    ledger.request_ = 0;
    if (reply.outcome_ != store_outcome::done)
    {
        ledger.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        return;
    }
    for (stored_row const& row : reply.rows_)
    {
        ledger.revision_ = row.revision_;
        if (auto targets = read_stored(context, row))
        {
            ledger.stored_ = std::move(*targets);
            ledger.found_ = true;
        }
    }
    ledger.loaded_ = true;
    finish_loading(context, request.shard_);
}

// Creates rows for targets on which former owners started work and that aren't
// listed now. They are queried at their stored address.
void adopt_granted(node& context, shard_id const& shard)
{
    grant_ledger const& ledger = context.owned_.find(shard)->grants_;
    std::size_t         unlisted = 0;
    for (auto const& [id, info] : ledger.stored_)
    {
        session_row& session = context.sessions_.ensure(id);
        if (!session.info_)
        {
            session.info_ = info;
            session.listed_ = false;
            session.unlisted_at_ = context.now_;
            session.shard_ = shard;
        }
        unlisted += session.listed_ ? 0 : 1;
    }
    log_event(context, "grants_loaded",
              {{"shard", write_shard_name(shard)},
               {"found", ledger.found_ ? "true" : "false"},
               {"targets", std::to_string(ledger.stored_.size())},
               {"unlisted", std::to_string(unlisted)}});
}

void record_grants(node& context)
{
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row&    own = context.owned_[row];
        grant_ledger& ledger = own.grants_;
        // A release writes the fence row and so changes the revision that this
        // write is conditional on.
        if (own.phase_ != owned_phase::serving || ledger.request_ != 0 ||
            ledger.write_at_ == instant::never() || own.releasing_ ||
            may_be_released(own))
        {
            continue;
        }
        instant const due = std::max(ledger.write_at_, ledger.retry_at_);
        if (due > context.now_)
        {
            wake_at(context, due);
            continue;
        }
        shard_id const  shard = context.owned_.key(row);
        granted_targets in_use = list_targets_with_work(context, shard);
        ledger.write_at_ = instant::never();
        if (ledger.unsettled_ || !have_same_targets(in_use, ledger.stored_))
        {
            write_grant_row(context, shard, own, std::move(in_use));
        }
    }
}

void end_record_grant(node& context, request_row const& request,
                      store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    grant_ledger& ledger = own->grants_;
    ledger.request_ = 0;
    note_store_proof(*own, reply, request);
    if (reply.outcome_ == store_outcome::done)
    {
        ledger.revision_ = reply.revision_;
        ledger.unsettled_ = false;
        set_stored(context, ledger, ledger.writing_);
        return;
    }
    ledger.write_at_ = context.now_;
    if (reply.outcome_ != store_outcome::conflict)
    {
        ledger.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        log_event(context, "grants_not_recorded",
                  {{"shard", write_shard_name(request.shard_)},
                   {"targets", std::to_string(ledger.writing_.size())},
                   {"error", reply.error_}});
        return;
    }
    for (stored_row const& row : reply.rows_)
    {
        if (row.key_.table_ == grant_table)
        {
            // An earlier unanswered write was performed.
            ledger.revision_ = row.revision_;
            set_stored(context, ledger,
                       read_stored(context, row).value_or(granted_targets()));
        }
        else if (row.revision_ != own->parts_[grant_fence_part].fence_)
        {
            apply(context, member_row_changed{row});
            drop_shard(context, request.shard_,
                       "another process changed its fence row");
            return;
        }
    }
}

} // namespace fescuevane::cell

// Purpose: the system that keeps in the store on which targets of a shard
// leases may run.
//
// Starts aren't stored, so only the targets know what runs. The list of hosts
// doesn't name those that are cut off, so a target is named in the row of its
// shard before the first start is sent to it, and a new owner waits for it.
#include "state/control.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuevane::state
{
namespace
{

using targets = grant_table::targets;

// Targets without leases are taken out together: each loss of a link would be
// a write otherwise.
constexpr std::int64_t trim_micros = 2'000'000;

commit_key key_of(shard_id const& shard)
{
    return {.purpose_ = commit_purpose::grant, .shard_ = shard};
}

std::vector<granted_target> list_values(targets const& from)
{
    std::vector<granted_target> list;
    list.reserve(from.size());
    for (auto const& [id, target] : from)
    {
        list.push_back(target);
    }
    return list;
}

targets index_values(std::vector<granted_target> const& from)
{
    targets indexed;
    for (granted_target const& target : from)
    {
        indexed.emplace(target.target_, target);
    }
    return indexed;
}

bool names_all(targets const& have, targets const& wanted)
{
    return std::all_of(wanted.begin(), wanted.end(),
                       [&have](auto const& entry)
                       {
                           return have.contains(entry.first);
                       });
}

// The open commit may take effect at any time, so only what the row names with
// and without it is named for sure.
void tell_sure(control& context, std::size_t row)
{
    grant_table const&  grants = context.grants_;
    shard_id const&     shard = grants.index_.key(row);
    bool const          open = has_commit(context, key_of(shard));
    std::set<target_id> sure;
    for (auto const& [id, target] : grants.stored_[row])
    {
        if (!open || grants.writing_[row].contains(id))
        {
            sure.insert(id);
        }
    }
    context.outbox_.push_back(grants_recorded{shard, std::move(sure)});
}

void plan_commit(control& context, std::size_t row)
{
    grant_table& grants = context.grants_;
    if (grants.wanted_[row] == grants.stored_[row])
    {
        grants.due_[row] = instant::never();
        return;
    }
    bool const adds = !names_all(grants.stored_[row], grants.wanted_[row]);
    grants.due_[row] =
        std::min(grants.due_[row],
                 adds ? context.now_ : context.now_.after(trim_micros));
}

// While a shard is handed over its row of owners may change, and with it the
// condition of the commit.
bool can_commit(control const& context, shard_id const& shard)
{
    auto const row = context.shards_.index_.find(shard);
    return row && context.shards_.phase_[*row] == shard_phase::owned &&
           !has_commit(context, key_of(shard));
}

void commit_grants(control& context, std::size_t row)
{
    grant_table&   grants = context.grants_;
    shard_id const shard = grants.index_.key(row);
    grants.due_[row] = instant::never();
    grants.writing_[row] = grants.wanted_[row];
    open_commit(context, key_of(shard),
                {make_condition(context.rows_, format_shard_key(shard))},
                {{format_grant_key(shard),
                  write_grants(list_values(grants.writing_[row]))}});
    tell_sure(context, row);
}

} // namespace

void load_grants(control& context, shard_id const& shard,
                 grant_record const& found)
{
    std::size_t const row = ensure_grants(context.grants_, shard);
    context.grants_.stored_[row] = index_values(found.targets_);
    context.grants_.wanted_[row] = context.grants_.stored_[row];
    context.grants_.due_[row] = instant::never();
}

void want_grants(control& context, grants_wanted const& input)
{
    auto const shard = context.shards_.index_.find(input.shard_);
    auto const row = context.grants_.index_.find(input.shard_);
    if (!shard || !row || !is_serving(context.shards_, *shard) ||
        context.shards_.served_epoch_[*shard] != input.epoch_)
    {
        return;
    }
    context.grants_.wanted_[*row] = index_values(input.targets_);
    plan_commit(context, *row);
}

void end_grants(control& context, shard_id const& shard)
{
    auto const row = context.grants_.index_.find(shard);
    if (!row)
    {
        return;
    }
    grant_table& grants = context.grants_;
    grants.stored_[*row] = std::exchange(grants.writing_[*row], {});
    tell_sure(context, *row);
    plan_commit(context, *row);
}

// An attempt in flight may still take effect. It names every target that was
// told as recorded, and the claim of another owner ends its condition.
void drop_grants(control& context, shard_id const& shard)
{
    if (auto const row = context.grants_.index_.find(shard))
    {
        remove_grants(context.grants_, *row);
    }
    if (auto const commit = context.commits_.index_.find(key_of(shard)))
    {
        remove_commit(context.commits_, *commit);
    }
}

instant record_grants(control& context)
{
    instant next = instant::never();
    for (std::size_t row = 0; row < context.grants_.index_.size(); ++row)
    {
        shard_id const shard = context.grants_.index_.key(row);
        if (context.grants_.due_[row] <= context.now_ &&
            can_commit(context, shard))
        {
            commit_grants(context, row);
        }
        if (context.grants_.due_[row] > context.now_)
        {
            next = std::min(next, context.grants_.due_[row]);
        }
    }
    return next;
}

} // namespace fescuevane::state

// Purpose: targets on which leases of an owned shard may run: those of former
// owners, and the row that names them before work starts there.
#include "core/core.hpp"
#include "entry/node_tables.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::entry
{
namespace
{

state::granted_target make_grant(listed_host const& host)
{
    return {.target_ = host.target_,
            .domain_ = host.domain_,
            .rack_ = host.rack_,
            .address_ = host.address_,
            .capacity_ = host.capacity_,
            .slots_ = host.slots_};
}

listed_host make_host(state::granted_target const& grant)
{
    return {.target_ = grant.target_,
            .domain_ = grant.domain_,
            .rack_ = grant.rack_,
            .address_ = grant.address_,
            .capacity_ = grant.capacity_,
            .slots_ = grant.slots_};
}

// A former owner may have renewed the leases up to now. A target that isn't
// listed is asked at the address that it had, until they have lapsed.
void keep_host(node& context, state::granted_target const& grant)
{
    host_table&   hosts = context.hosts_;
    instant const lapse = context.now_.after(context.settings_.lease_micros_);
    if (auto const row = hosts.index_.find(grant.target_))
    {
        hosts.gone_deadline_[*row] =
            std::max(hosts.gone_deadline_[*row], lapse);
        return;
    }
    hosts.index_.append(grant.target_);
    hosts.host_.append(make_host(grant));
    hosts.gone_deadline_.append(lapse);
}

std::vector<state::granted_target> list_grants(node const&     context,
                                               shard_id const& shard)
{
    session_table const&               sessions = context.sessions_;
    std::vector<state::granted_target> targets;
    for (std::size_t row = 0; row < sessions.index_.size(); ++row)
    {
        if (sessions.shard_[row] == shard &&
            (sessions.may_run_[row] != 0 ||
             sessions.phase_[row] == session_phase::attached))
        {
            targets.push_back(make_grant(sessions.host_[row]));
        }
    }
    return targets;
}

} // namespace

void adopt_grants(node& context, std::size_t driver,
                  state::grant_record const& found)
{
    std::set<target_id> named;
    for (state::granted_target const& grant : found.targets_)
    {
        named.insert(grant.target_);
        keep_host(context, grant);
    }
    context.outbox_.push_back(
        state_noted{found.complete_ ? "targets with leases loaded"
                                    : "targets with leases not known",
                    format_key(context.drivers_.index_.key(driver)) +
                        " named " + std::to_string(named.size())});
    context.drivers_.recorded_[driver] = named;
    if (found.complete_)
    {
        context.drivers_.former_[driver] = std::move(named);
    }
}

void take_recorded(node& context, state::grants_recorded const& input)
{
    auto const driver = context.drivers_.index_.find(input.shard_);
    if (!driver)
    {
        return;
    }
    auto const before =
        std::exchange(context.drivers_.recorded_[*driver], input.targets_);
    session_table const& sessions = context.sessions_;
    for (std::size_t row = 0; row < sessions.index_.size(); ++row)
    {
        target_id const& target = sessions.index_.key(row);
        if (sessions.shard_[row] == input.shard_ &&
            sessions.phase_[row] == session_phase::attached &&
            before.contains(target) != input.targets_.contains(target))
        {
            post_joined(context, row);
        }
    }
}

void want_grants(node& context)
{
    driver_table& drivers = context.drivers_;
    for (std::size_t row = 0; row < drivers.index_.size(); ++row)
    {
        if (std::exchange(drivers.regrant_[row], std::uint8_t{0}) != 0)
        {
            shard_id const& shard = drivers.index_.key(row);
            state::post_event(
                *context.control_,
                state::grants_wanted{shard, drivers.epoch_[row],
                                     list_grants(context, shard)});
            context.control_dirty_ = true;
        }
    }
}

} // namespace fescuevane::entry

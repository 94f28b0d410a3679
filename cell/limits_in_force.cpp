// Purpose: limits of organisations that are in force on this host.
//
// A host that can't read the store doesn't learn that an operator has lowered a
// limit. Hosts that know a later configuration report its limits to it, and it
// uses the lower one of both until it has read that configuration itself.
#include "cell/cell.hpp"
#include "cell/node.hpp"

#include <algorithm>

namespace fescuevane::cell
{

namespace
{

std::int64_t find_lower(std::int64_t a, std::int64_t b)
{
    bool const unlimited = a == 0 || b == 0;
    return unlimited ? std::max(a, b) : std::min(a, b);
}

resources find_lower(resources const& a, resources const& b)
{
    return {find_lower(a.cpu_millis(), b.cpu_millis()),
            find_lower(a.memory_mib(), b.memory_mib()),
            find_lower(a.accelerators(), b.accelerators())};
}

} // namespace

std::map<organisation_id, resources> list_configured_limits(node const& context)
{
    std::map<organisation_id, resources> limits;
    if (context.config_)
    {
        for (organisation_entry const& entry : context.config_->organisations_)
        {
            limits.emplace(entry.share_.id_, entry.share_.limit_);
        }
    }
    return limits;
}

void update_limits(node& context)
{
    context.limits_ = list_configured_limits(context);
    if (config_version(context) >= context.reported_version_)
    {
        context.reported_limits_.clear();
    }
    for (auto const& [id, limit] : context.reported_limits_)
    {
        auto const configured = context.limits_.find(id);
        if (configured != context.limits_.end())
        {
            configured->second = find_lower(configured->second, limit);
        }
    }
}

bool note_reported_limits(node& context, heartbeat const& beat)
{
    std::uint64_t const known =
        std::max(config_version(context), context.reported_version_);
    if (beat.limits_.empty() || beat.config_version_ <= known)
    {
        return false;
    }
    context.reported_version_ = beat.config_version_;
    context.reported_limits_ = beat.limits_;
    update_limits(context);
    return true;
}

resources const* find_limit(node const& context, organisation_id const& id)
{
    auto const limit = context.limits_.find(id);
    return limit == context.limits_.end() ? nullptr : &limit->second;
}

} // namespace fescuevane::cell

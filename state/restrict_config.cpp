// Purpose: the restrictions of a committed configuration over the accepted
// one, and the check of keys.
#include "state/config.hpp"
#include "state/state.hpp"

#include <algorithm>
#include <iterator>

namespace fescuevane::state
{
namespace
{

template <typename T>
std::set<T> intersect(std::set<T> const& a, std::set<T> const& b)
{
    std::set<T> common;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                          std::inserter(common, common.end()));
    return common;
}

std::optional<resources> restrict_limit(std::optional<resources> const& a,
                                        std::optional<resources> const& b)
{
    return a && b ? min(*a, *b) : (a ? a : b);
}

// A removed team keeps its limit until acceptance, but no key.
team_config restrict_team(team_config const& accepted,
                          team_config const* committed)
{
    if (committed == nullptr)
    {
        return {.team_ = accepted.team_,
                .share_ = accepted.share_,
                .limit_ = accepted.limit_};
    }
    return {.team_ = accepted.team_,
            .key_hashes_ =
                intersect(accepted.key_hashes_, committed->key_hashes_),
            .share_ = accepted.share_,
            .limit_ = restrict_limit(accepted.limit_, committed->limit_)};
}

// The shorter time until a cut-off domain stops; only domains that stop count.
std::int64_t restrict_stop_after(domain_config const& a, domain_config const& b)
{
    if (a.serves_when_cut_off_ || b.serves_when_cut_off_)
    {
        return a.serves_when_cut_off_ ? b.stop_after_micros_
                                      : a.stop_after_micros_;
    }
    return std::min(a.stop_after_micros_, b.stop_after_micros_);
}

domain_config restrict_domain(domain_config const& accepted,
                              domain_config const& committed)
{
    return {.domain_ = committed.domain_,
            .in_service_ = accepted.in_service_ && committed.in_service_,
            .serves_when_cut_off_ =
                accepted.serves_when_cut_off_ && committed.serves_when_cut_off_,
            .stop_after_micros_ = restrict_stop_after(accepted, committed)};
}

// No value when no team may use the service: an empty set of teams would mean
// all teams.
std::optional<service_config> restrict_service(service_config const& accepted,
                                               service_config const& committed)
{
    bool const open = accepted.open_ && committed.open_;
    bool const any_before = accepted.open_ || accepted.teams_.empty();
    bool const any_after = committed.open_ || committed.teams_.empty();
    if (any_before || any_after)
    {
        return service_config{
            .service_ = accepted.service_,
            .open_ = open,
            .teams_ = any_before && any_after
                          ? std::set<team_id>{}
                          : (any_before ? committed.teams_ : accepted.teams_)};
    }
    std::set<team_id> const teams =
        intersect(accepted.teams_, committed.teams_);
    if (teams.empty())
    {
        return std::nullopt;
    }
    return service_config{
        .service_ = accepted.service_, .open_ = open, .teams_ = teams};
}

std::map<team_id, team_config> restrict_teams(config const& accepted,
                                              config const& committed)
{
    std::map<team_id, team_config> teams;
    for (auto const& [id, team] : accepted.teams_)
    {
        auto const found = committed.teams_.find(id);
        teams.emplace(id, restrict_team(team, found == committed.teams_.end()
                                                  ? nullptr
                                                  : &found->second));
    }
    return teams;
}

// A domain that no ticket names is in service.
std::map<domain_id, domain_config> restrict_domains(config const& accepted,
                                                    config const& committed)
{
    std::map<domain_id, domain_config> domains;
    for (auto const& [id, domain] : committed.domains_)
    {
        auto const found = accepted.domains_.find(id);
        domains.emplace(id, restrict_domain(found == accepted.domains_.end()
                                                ? domain_config{.domain_ = id}
                                                : found->second,
                                            domain));
    }
    return domains;
}

std::map<service_id, service_config> restrict_services(config const& accepted,
                                                       config const& committed)
{
    std::map<service_id, service_config> services;
    for (auto const& [id, service] : accepted.services_)
    {
        auto const found = committed.services_.find(id);
        auto const restricted = found == committed.services_.end()
                                    ? std::nullopt
                                    : restrict_service(service, found->second);
        if (restricted)
        {
            services.emplace(id, *restricted);
        }
    }
    return services;
}

} // namespace

config restrict_config(config const& accepted, config const& committed)
{
    if (accepted.number_ == committed.number_)
    {
        return accepted;
    }
    return {.number_ = accepted.number_,
            .teams_ = restrict_teams(accepted, committed),
            .domains_ = restrict_domains(accepted, committed),
            .services_ = restrict_services(accepted, committed)};
}

bool accepts_key(config const& value, team_id const& team,
                 service_id const& service, std::string_view key)
{
    auto const found = value.services_.find(service);
    if (found == value.services_.end())
    {
        return false;
    }
    if (found->second.open_)
    {
        return true;
    }
    auto const owner = value.teams_.find(team);
    bool const allowed =
        found->second.teams_.empty() || found->second.teams_.contains(team);
    return allowed && owner != value.teams_.end() &&
           owner->second.key_hashes_.contains(hash_key(key));
}

} // namespace fescuevane::state

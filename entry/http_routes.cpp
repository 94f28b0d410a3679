// Purpose: table of the routes of the HTTP API.
#include "entry/http_routes.hpp"

#include <array>
#include <optional>

namespace fescuevane::entry
{

std::span<route const> http_routes::list()
{
    using front = http_front;
    static constexpr std::array<route, 17> routes = {{
        {"POST", "/v1/jobs", &front::submit},
        {"GET", "/v1/jobs/{}", &front::lookup},
        {"POST", "/v1/jobs/cancel", &front::cancel_many},
        {"POST", "/v1/jobs/{}/cancel", &front::cancel},
        {"POST", "/v1/tickets", &front::file_ticket},
        {"POST", "/v1/tickets/validate", &front::validate_ticket},
        {"POST", "/v1/tickets/diff", &front::diff_ticket},
        {"GET", "/v1/tickets/{}", &front::read_ticket},
        {"GET", "/v1/config", &front::read_config},
        {"GET", "/v1/teams", &front::read_teams},
        {"GET", "/v1/targets", &front::read_targets},
        {"GET", "/v1/shards", &front::read_shards},
        {"GET", "/v1/limits", &front::read_limits},
        {"GET", "/v1/info", &front::read_info},
        {"GET", "/healthz", &front::read_health},
        {"GET", "/readyz", &front::read_readiness},
        {"GET", "/metrics", &front::read_metrics},
    }};
    return routes;
}

namespace
{

// The argument of a path that matches, empty when the pattern has none.
std::optional<std::string> match_path(std::string_view pattern,
                                      std::string_view path)
{
    std::size_t const hole = pattern.find("{}");
    if (hole == std::string_view::npos)
    {
        return pattern == path ? std::optional<std::string>("") : std::nullopt;
    }
    std::string_view const head = pattern.substr(0, hole);
    std::string_view const tail = pattern.substr(hole + 2);
    if (path.size() <= head.size() + tail.size() || !path.starts_with(head) ||
        !path.ends_with(tail))
    {
        return std::nullopt;
    }
    std::string_view const argument =
        path.substr(head.size(), path.size() - head.size() - tail.size());
    return argument.find('/') == std::string_view::npos
               ? std::optional<std::string>(argument)
               : std::nullopt;
}

} // namespace

route_match http_routes::find(std::string_view method, std::string_view path)
{
    std::string allow;
    for (route const& each : list())
    {
        auto const argument = match_path(each.path_, path);
        if (argument && each.method_ == method)
        {
            return {.route_ = &each, .argument_ = *argument};
        }
        if (argument)
        {
            allow += (allow.empty() ? "" : ", ") + std::string(each.method_);
        }
    }
    return {.allow_ = allow};
}

} // namespace fescuevane::entry

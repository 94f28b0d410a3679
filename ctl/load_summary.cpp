// Purpose: summaries of load runs.
#include "ctl/load_summary.hpp"

#include "ctl/fields.hpp"
#include "ctl/percentile.hpp"

#include <algorithm>
#include <array>

namespace fescuevane::ctl
{
namespace
{

struct named_percentile
{
    char const* name_;
    double      percent_;
};

constexpr std::array<named_percentile, 4> percentiles = {{
    {"wait_ms_p50", 50},
    {"wait_ms_p90", 90},
    {"wait_ms_p99", 99},
    {"wait_ms_max", 100},
}};

} // namespace

json summarize_load(std::uint64_t planned, std::uint64_t sent,
                    std::map<std::string, std::uint64_t> const& ends,
                    std::vector<std::int64_t>                   waits,
                    std::int64_t                                elapsed_micros)
{
    std::sort(waits.begin(), waits.end());
    double const seconds =
        static_cast<double>(std::max<std::int64_t>(elapsed_micros, 1)) / 1e6;
    json summary = {{"planned", planned}, {"sent", sent}, {"states", ends}};
    summary["seconds"] = seconds;
    summary["answered_per_second"] =
        static_cast<double>(waits.size()) / seconds;
    for (named_percentile const& each : percentiles)
    {
        summary[each.name_] =
            static_cast<double>(find_percentile(waits, each.percent_)) / 1e3;
    }
    return summary;
}

std::string name_load_end(unsigned status, json const& body)
{
    std::string const state = read_text(body, "state");
    std::string const result = read_text(body, "outcome");
    if (state.empty())
    {
        return "status " + std::to_string(status);
    }
    return state == "answered" && result != "succeeded" ? state + "/" + result
                                                        : state;
}

} // namespace fescuevane::ctl

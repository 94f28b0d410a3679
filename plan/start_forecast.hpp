// Purpose: when the waiting work of a shard is expected to start.
#ifndef FESCUEVANE_PLAN_START_FORECAST_HPP
#define FESCUEVANE_PLAN_START_FORECAST_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/forecast_row.hpp"
#include "plan/organisation_forecast.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace fescuevane::plan
{

// Rows by rank. Room is counted in processors, which bind first on most shards;
// fragments of targets and steps that aren't startable yet aren't counted.
struct start_forecast
{
    instant                                          made_at_;
    instant                                          valid_until_;
    bool                                             complete_ = false;
    std::int64_t                                     free_millis_ = 0; // now
    std::int64_t                                     busy_millis_ = 0;
    double                                           freed_per_ms_ = 0;
    std::vector<forecast_row>                        rows_;
    std::map<organisation_id, organisation_forecast> organisations_;
    std::int64_t accepted_millis_ = 0; // by jobs accepted since it was made

    friend bool operator==(start_forecast const&,
                           start_forecast const&) = default;
};

} // namespace fescuevane::plan

#endif

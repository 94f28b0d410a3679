// Purpose: key of a model of run times.
#ifndef FESCUEVANE_PLAN_RUN_TIME_KEY_HPP
#define FESCUEVANE_PLAN_RUN_TIME_KEY_HPP

#include "core/ids.hpp"

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace fescuevane::plan
{

// An empty member stands for all values. Rows are learnt and shared with all
// members set; the wider keys are sums over them.
struct run_time_key
{
    organisation_id organisation_;
    queue_id        queue_;
    std::string     image_;

    friend auto operator<=>(run_time_key const&, run_time_key const&) = default;
};

} // namespace fescuevane::plan

template <>
struct std::hash<fescuevane::plan::run_time_key>
{
    std::size_t operator()(fescuevane::plan::run_time_key const& key) const
    {
        constexpr std::size_t multiplier = 31;
        std::size_t           value = hash<string>{}(key.organisation_.str());
        value = value * multiplier + hash<string>{}(key.queue_.str());
        return value * multiplier + hash<string>{}(key.image_);
    }
};

#endif

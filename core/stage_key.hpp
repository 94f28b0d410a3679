// Purpose: names of the parts of a staged job.
#ifndef FESCUEVANE_CORE_STAGE_KEY_HPP
#define FESCUEVANE_CORE_STAGE_KEY_HPP

#include "core/ids.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace fescuevane
{

// A stage is one step of one occurrence of a job.
struct stage_key
{
    job_id        job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    friend auto operator<=>(stage_key const&, stage_key const&) = default;
};

} // namespace fescuevane

template <>
struct std::hash<fescuevane::stage_key>
{
    std::size_t operator()(fescuevane::stage_key const& key) const
    {
        return std::hash<fescuevane::job_id>{}(key.job_) * 31 +
               key.occurrence_ * 131 + key.step_;
    }
};

#endif

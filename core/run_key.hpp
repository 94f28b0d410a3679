// Purpose: name of one start of a task of a staged job.
#ifndef FESCUEVANE_CORE_RUN_KEY_HPP
#define FESCUEVANE_CORE_RUN_KEY_HPP

#include "core/stage_key.hpp"

namespace fescuevane
{

// Runs of a task are numbered from 1; a later start has a higher number.
struct run_key
{
    stage_key     stage_;
    std::uint32_t index_ = 0; // of the task in its stage
    std::uint32_t run_ = 0;

    friend auto operator<=>(run_key const&, run_key const&) = default;
};

} // namespace fescuevane

template <>
struct std::hash<fescuevane::run_key>
{
    std::size_t operator()(fescuevane::run_key const& key) const
    {
        return std::hash<fescuevane::stage_key>{}(key.stage_) * 31 +
               key.index_ * 1009 + key.run_;
    }
};

#endif

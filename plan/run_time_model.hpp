// Purpose: models of run times, by their names in the settings.
#ifndef FESCUEVANE_PLAN_RUN_TIME_MODEL_HPP
#define FESCUEVANE_PLAN_RUN_TIME_MODEL_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class run_time_model : std::uint8_t
{
    local, // by image, of one owner
    shared // by organisation, queue and image, of all shards
};

} // namespace fescuevane::plan

#endif

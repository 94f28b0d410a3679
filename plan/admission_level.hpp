// Purpose: which new jobs a shard refuses for load.
#ifndef FESCUEVANE_PLAN_ADMISSION_LEVEL_HPP
#define FESCUEVANE_PLAN_ADMISSION_LEVEL_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class admission_level : std::uint8_t
{
    off,      // none
    valuable, // those that would have no value left when they end
    on_time   // also those that would end after their objective
};

} // namespace fescuevane::plan

#endif

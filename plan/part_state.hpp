// Purpose: state of a part of a gang, as reported to the owner of the gang.
#ifndef FESCUEVANE_PLAN_PART_STATE_HPP
#define FESCUEVANE_PLAN_PART_STATE_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class part_state : std::uint8_t
{
    gathering, // lacks room or tickets, or its job isn't loaded yet
    ready,     // has room and valid tickets for all of its tasks
    started,   // all of its tasks have started
    over       // ended, or will end without a start
};

} // namespace fescuevane::plan

#endif

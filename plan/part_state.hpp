// Purpose: what the owner of a gang is told of a part of it.
#ifndef FESCUEVANE_PLAN_PART_STATE_HPP
#define FESCUEVANE_PLAN_PART_STATE_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class part_state : std::uint8_t
{
    gathering, // lacks room or tickets, or hasn't been read yet
    ready,     // has room and valid tickets for all of its tasks
    started,   // all of its tasks have begun
    over       // ended, or will end without a start
};

} // namespace fescuevane::plan

#endif

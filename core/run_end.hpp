// Purpose: ways in which a run of a task ends.
#ifndef FESCUEVANE_CORE_RUN_END_HPP
#define FESCUEVANE_CORE_RUN_END_HPP

#include <cstdint>

namespace fescuevane
{

enum class run_end : std::uint8_t
{
    done,    //
    failed,  // by its own fault or its target's
    stopped, // on order
    lapsed,  // its lease expired
    broken,  // another member of its gang ended
    alone,   // the rest of its gang didn't come
    lost     // its target was lost, or the start never arrived
};

} // namespace fescuevane

#endif

// Purpose: whether a job can ever run on this shard.
#ifndef FESCUEVANE_DECIDE_FEASIBILITY_HPP
#define FESCUEVANE_DECIDE_FEASIBILITY_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuevane
{
class resources;
} // namespace fescuevane

namespace fescuevane::decide
{

struct scheduler;

// Tasks of one demand that fit into a room, at most `slots`.
std::int64_t count_fits(resources const& room, resources const& demand,
                        std::int64_t slots);

// Why a job can never run; empty when it can, or when targets are unreached.
std::string find_obstacle(scheduler const& context, std::size_t job);

} // namespace fescuevane::decide

#endif

// Purpose: demand of a planner for long requests to the policy service.
#ifndef FESCUEVANE_PLAN_WANTED_REQUESTS_HPP
#define FESCUEVANE_PLAN_WANTED_REQUESTS_HPP

#include <cstdint>

namespace fescuevane::plan
{

struct planner;

std::uint32_t count_long_requests(planner const& context); // in flight
// In flight, and when the limit is reached also those that stages lack.
std::uint32_t count_wanted_requests(planner const& context);

} // namespace fescuevane::plan

#endif

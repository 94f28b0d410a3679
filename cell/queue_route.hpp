// Purpose: HTTP route of a queue.
#ifndef FESCUEVANE_CELL_QUEUE_ROUTE_HPP
#define FESCUEVANE_CELL_QUEUE_ROUTE_HPP

#include "core/queue_policy.hpp"

#include <string>

namespace fescuevane::cell
{

// Among the routes of the host, the longest matching path prefix wins.
struct queue_route
{
    queue_policy policy_;
    std::string  host_;         // of the call
    std::string  prefix_;       // of the path; the rest is the job id
    bool         open_ = false; // accepts calls without a key

    friend bool operator==(queue_route const&, queue_route const&) = default;
};

} // namespace fescuevane::cell

#endif

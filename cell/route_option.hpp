// Purpose: a shard that could take a job.
#ifndef FESCUEVANE_CELL_ROUTE_OPTION_HPP
#define FESCUEVANE_CELL_ROUTE_OPTION_HPP

#include "cell/shard_demand.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::cell
{

struct route_option
{
    shard_id const     shard_;
    bool const         remote_ = false; // in another failure domain
    double const       penalty_ = 0;    // of shards that are chosen last
    shard_demand const demand_;

    friend bool operator==(route_option const&, route_option const&) = default;
};

} // namespace fescuevane::cell

#endif

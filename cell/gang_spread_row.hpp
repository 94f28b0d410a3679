// Purpose: row of a gang that runs on several shards.
#ifndef FESCUEVANE_CELL_GANG_SPREAD_ROW_HPP
#define FESCUEVANE_CELL_GANG_SPREAD_ROW_HPP

#include "cell/spread_part.hpp"
#include "cell/spread_phase.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

#include <map>

namespace fescuevane::cell
{

struct gang_spread_row
{
    shard_id                      shard_; // of the gang
    spread_phase                  phase_ = spread_phase::placing;
    instant                       until_; // deadline of the phase
    std::map<job_id, spread_part> parts_; // parts that haven't ended
};

} // namespace fescuevane::cell

#endif

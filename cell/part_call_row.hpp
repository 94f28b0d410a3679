// Purpose: row of a call about a part of a gang that waits for an answer.
#ifndef FESCUEVANE_CELL_PART_CALL_ROW_HPP
#define FESCUEVANE_CELL_PART_CALL_ROW_HPP

#include "cell/call_kind.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::cell
{

struct part_call_row
{
    call_kind kind_ = call_kind::await_part;
    shard_id  shard_; // that has the part
    job_id    id_;
    instant   deadline_;
};

} // namespace fescuevane::cell

#endif

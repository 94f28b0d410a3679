// Purpose: row of a call about a gang part that has no reply yet.
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
    shard_id  shard_; // that holds the part
    job_id    id_;
    instant   deadline_;
};

} // namespace fescuevane::cell

#endif

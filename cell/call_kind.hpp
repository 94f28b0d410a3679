// Purpose: kinds of calls about a job.
#ifndef FESCUEVANE_CELL_CALL_KIND_HPP
#define FESCUEVANE_CELL_CALL_KIND_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class call_kind : std::uint8_t
{
    submit,
    lookup,
    cancel,
    // Between shard owners only
    offer,         // could the shard run these tasks?
    await_part,    // replied once a gang part has room and tickets
    start_part,    // sent once all parts have both
    withdraw_part, // stops a part and returns it to the gang's shard
    cancel_absent  // of a job without a row: a later submission is refused
};

} // namespace fescuevane::cell

#endif

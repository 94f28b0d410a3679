// Purpose: load limit for accepting delegated tasks.
#ifndef FESCUEVANE_CELL_DELEGATE_LOAD_HPP
#define FESCUEVANE_CELL_DELEGATE_LOAD_HPP

namespace fescuevane::cell
{

// Fraction of a shard's capacity, queued work included, below which it accepts
// tasks of other shards. Above it, delegated tasks would only wait there. Each
// delegation costs writes and calls on both sides; a cell that was full
// everywhere spent more on delegations than on starting tasks.
inline constexpr double max_delegate_load = 0.9;

} // namespace fescuevane::cell

#endif

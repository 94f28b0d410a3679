// Purpose: load up to which shards take tasks of others.
#ifndef FESCUEVANE_CELL_DELEGATE_LOAD_HPP
#define FESCUEVANE_CELL_DELEGATE_LOAD_HPP

namespace fescuevane::cell
{

// A shard takes tasks of another one while its load, with what waits there,
// stays below this share of its capacity. Above it, the tasks would only wait
// there: each hand-over costs writes and calls on both sides, and a cell that
// is full everywhere spent more on them than on starts.
inline constexpr double max_delegate_load = 0.9;

} // namespace fescuevane::cell

#endif

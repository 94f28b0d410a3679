// Purpose: who waits for the answer to a call about a job.
#ifndef FESCUEVANE_CELL_ORIGIN_HPP
#define FESCUEVANE_CELL_ORIGIN_HPP

#include <compare>
#include <cstdint>

namespace fescuevane::cell
{

struct origin
{
    bool          remote_ = false; // another host, else a call of this one
    std::uint64_t call_ = 0;

    friend auto operator<=>(origin const&, origin const&) = default;
};

} // namespace fescuevane::cell

#endif

// Purpose: where to send the reply to a call about a job.
#ifndef FESCUEVANE_CELL_ORIGIN_HPP
#define FESCUEVANE_CELL_ORIGIN_HPP

#include <compare>
#include <cstdint>

namespace fescuevane::cell
{

struct origin
{
    bool remote_ = false; // true: call of another host, false: of this one
    std::uint64_t call_ = 0;

    friend auto operator<=>(origin const&, origin const&) = default;
};

} // namespace fescuevane::cell

#endif

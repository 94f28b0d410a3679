// Purpose: row of an order in flight to a target.
#ifndef FESCUEVANE_CELL_ORDER_ROW_HPP
#define FESCUEVANE_CELL_ORDER_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/run_key.hpp"

#include <cstdint>
#include <memory>

namespace fescuevane::cell
{

struct send_start;

enum class order_kind : std::uint8_t
{
    start,
    stop,
    pace
};

struct order_row
{
    order_kind kind_ = order_kind::start;
    target_id  target_;
    run_key    run_;
    // Only for starts: what was sent, and whether an earlier attempt got no
    // reply.
    std::shared_ptr<send_start const> start_;
    bool                              repeated_ = false;
    // Least time on the clock of the incarnation that the order is meant for.
    std::int64_t least_clock_ms_ = 0;
};

} // namespace fescuevane::cell

#endif

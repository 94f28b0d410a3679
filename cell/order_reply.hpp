// Purpose: event: an order to a target ended.
#ifndef FESCUEVANE_CELL_ORDER_REPLY_HPP
#define FESCUEVANE_CELL_ORDER_REPLY_HPP

#include "cell/target_outcome.hpp"
#include "plan/refusal.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct order_reply
{
    std::uint64_t const  request_ = 0;
    target_outcome const outcome_ = target_outcome::unknown;
    plan::refusal const  reason_ = plan::refusal::room; // when refused
    std::string const    error_;
    std::int64_t const   clock_ms_ = 0; // of the target, 0: not told

    friend bool operator==(order_reply const&, order_reply const&) = default;
};

} // namespace fescuevane::cell

#endif

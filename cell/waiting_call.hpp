// Purpose: call that the owner of a shard can't reply to yet.
#ifndef FESCUEVANE_CELL_WAITING_CALL_HPP
#define FESCUEVANE_CELL_WAITING_CALL_HPP

#include "cell/call_kind.hpp"
#include "cell/origin.hpp"
#include "core/instant.hpp"

namespace fescuevane::cell
{

struct waiting_call
{
    origin    origin_;
    call_kind kind_ = call_kind::submit;
    instant   deadline_;
};

} // namespace fescuevane::cell

#endif

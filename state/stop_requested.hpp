// Purpose: event: this process has to hand over its shards and stop.
#ifndef FESCUEVANE_STATE_STOP_REQUESTED_HPP
#define FESCUEVANE_STATE_STOP_REQUESTED_HPP

namespace fescuevane::state
{

struct stop_requested
{
    friend bool operator==(stop_requested const&,
                           stop_requested const&) = default;
};

} // namespace fescuevane::state

#endif

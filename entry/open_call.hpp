// Purpose: one row of the call table, before it is appended.
#ifndef FESCUEVANE_ENTRY_OPEN_CALL_HPP
#define FESCUEVANE_ENTRY_OPEN_CALL_HPP

#include "entry/call_table.hpp"

namespace fescuevane::entry
{

// Holds a reference to its message, so it is moved and never compared.
struct open_call
{
    std::uint64_t id_ = 0;
    message_ptr   message_;
    gulong        finished_handler_ = 0;
    source_ptr    hang_up_watch_;
    instant       deadline_;
    call_kind     kind_ = call_kind::submit;
    job_key       job_;
    std::string   key_;
    instant       opened_;
    trace_span    span_;
};

} // namespace fescuevane::entry

#endif

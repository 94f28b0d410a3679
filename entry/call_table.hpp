// Purpose: table of the open calls of callers, one row a call.
#ifndef FESCUEVANE_ENTRY_CALL_TABLE_HPP
#define FESCUEVANE_ENTRY_CALL_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/row_index.hpp"
#include "entry/call_kind.hpp"
#include "entry/tracing_span.hpp"

#include <libsoup/soup.h>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace fescuevane::entry
{

struct message_deleter
{
    void operator()(SoupServerMessage* message) const
    {
        g_object_unref(message);
    }
};
using message_ptr = std::unique_ptr<SoupServerMessage, message_deleter>;

struct source_deleter
{
    void operator()(GSource* source) const
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
using source_ptr = std::unique_ptr<GSource, source_deleter>;

struct open_call; // one row, to append

struct call_table
{
    row_index<std::uint64_t> index_; // call ids
    column<message_ptr>      message_;
    column<gulong>           finished_handler_; // signal of the message
    column<source_ptr>       hang_up_watch_;    // of the caller's socket
    column<instant>          deadline_; // then the front end answers itself
    column<call_kind>        kind_;
    column<job_key>          job_;    // empty id: none or not known
    column<std::string>      key_;    // of the team
    column<instant>          opened_; // for the latency
    column<trace_span>       span_;   // from the arrival to the answer

    // Deadlines in order, so that arming the timer needs no scan.
    std::set<std::pair<instant, std::uint64_t>> by_deadline_;
};

// Appends a call; its id must have no row.
void append_call(call_table& table, open_call row);
void remove_call(call_table& table, std::size_t row);

} // namespace fescuevane::entry

#endif

// Purpose: command: record a span of a trace.
#ifndef FESCUEVANE_ENTRY_SPAN_FINISHED_HPP
#define FESCUEVANE_ENTRY_SPAN_FINISHED_HPP

#include "core/instant.hpp"

#include <string>

namespace fescuevane::entry
{

struct span_finished
{
    std::string const name_;        // of the hop
    std::string const parent_;      // W3C traceparent that came in
    std::string const traceparent_; // of this span, passed on to the next hop
    instant const     start_;
    instant const     end_;
    std::string const subject_; // job, task or target

    friend bool operator==(span_finished const&,
                           span_finished const&) = default;
};

} // namespace fescuevane::entry

#endif

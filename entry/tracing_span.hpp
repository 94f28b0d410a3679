// Purpose: one span, the time that a process spends on one hop of a request.
#ifndef FESCUEVANE_ENTRY_TRACING_SPAN_HPP
#define FESCUEVANE_ENTRY_TRACING_SPAN_HPP

#include <opentracing/span.h>
#include <memory>
#include <string>
#include <utility>

namespace fescuevane::entry
{

// Ends when it is destroyed. Holds the library's span, so it is moved and never
// compared; the span is null when no trace file is set.
class trace_span
{
public:
    trace_span() = default;
    trace_span(std::string traceparent, std::unique_ptr<opentracing::Span> span)
        : traceparent_(std::move(traceparent)), span_(std::move(span))
    {
    }

    // Header of the next hop.
    std::string const& traceparent() const { return traceparent_; }

private:
    std::string                        traceparent_;
    std::unique_ptr<opentracing::Span> span_;
};

} // namespace fescuevane::entry

#endif

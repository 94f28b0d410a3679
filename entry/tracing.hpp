// Purpose: traces of an entry process, written as JSON lines.
#ifndef FESCUEVANE_ENTRY_TRACING_HPP
#define FESCUEVANE_ENTRY_TRACING_HPP

#include "entry/tracing_span.hpp"

#include <opentracing/tracer.h>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>

namespace fescuevane::entry
{

class span_buffer;

// Records spans with OpenTracing's mocktracer. Its identifiers have 64 bits, so
// the W3C identifiers are carried as tags and take the place of its own in the
// file. A line has trace_id, span_id, parent_id (empty: none), name, host,
// start_us (since the Unix epoch) and duration_us. Used on the thread of the
// default GLib main context.
class span_tracer
{
public:
    // `file` empty: spans carry identifiers but nothing is written. Throws
    // front_error when the file can't be opened.
    span_tracer(std::string const& file, std::string host,
                std::size_t buffer_spans = 4096);
    ~span_tracer(); // writes what is left; no span may end later
    span_tracer(span_tracer const&) = delete;
    span_tracer& operator=(span_tracer const&) = delete;

    // A span below the caller's, or of a new trace when `traceparent` is empty
    // or invalid.
    trace_span start_span(std::string const& name,
                          std::string const& traceparent);

    void          flush();         // also called each second
    std::uint64_t dropped() const; // spans that found the buffer full

private:
    std::string const                    host_;
    std::ofstream                        output_;
    span_buffer*                         buffer_ = nullptr; // of `tracer_`
    std::shared_ptr<opentracing::Tracer> tracer_;           // null: no file
    unsigned                             timeout_ = 0;      // GLib source
};

} // namespace fescuevane::entry

#endif

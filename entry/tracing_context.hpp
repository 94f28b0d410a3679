// Purpose: W3C trace context, the identity of one hop of a request.
#ifndef FESCUEVANE_ENTRY_TRACING_CONTEXT_HPP
#define FESCUEVANE_ENTRY_TRACING_CONTEXT_HPP

#include <optional>
#include <string>
#include <string_view>

namespace fescuevane::entry
{

// Identifiers are lower-case hexadecimal: 32, 16 and 2 digits. See the W3C
// recommendation "Trace Context", level 1, section 3.2.
struct trace_context
{
    std::string const trace_id_; // of the whole request
    std::string const span_id_;  // of the hop
    std::string const flags_ = "01";

    friend bool operator==(trace_context const&,
                           trace_context const&) = default;
};

// No value for a text that the recommendation tells to ignore.
std::optional<trace_context> parse_traceparent(std::string_view text);
std::string                  format_traceparent(trace_context const& value);

// A new hop of the same request, or of a new one when `parent` has no value.
trace_context make_child(std::optional<trace_context> const& parent);

} // namespace fescuevane::entry

#endif

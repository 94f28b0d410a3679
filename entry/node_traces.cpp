// Purpose: identifiers and records of trace spans, in the form of the W3C trace
// context: version, trace id, span id and flags, in hexadecimal.
#include "entry/node_tables.hpp"

#include <cstdio>

namespace fescuevane::entry
{
namespace
{

constexpr std::size_t traceparent_size = 55;
constexpr std::size_t trace_id_begin = 3;
constexpr std::size_t trace_id_size = 32;

std::string format_hex(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(value));
    return text;
}

} // namespace

std::string make_traceparent(node& context, std::string const& parent)
{
    bool const        has_parent = parent.size() == traceparent_size;
    std::string const trace =
        has_parent
            ? parent.substr(trace_id_begin, trace_id_size)
            : format_hex(context.random_()) + format_hex(context.random_());
    return "00-" + trace + "-" + format_hex(context.random_()) + "-01";
}

void finish_span(node& context, std::string_view name, open_span const& span,
                 std::string subject)
{
    if (!context.settings_.trace_file_.empty())
    {
        context.outbox_.push_back(
            span_finished{.name_ = std::string(name),
                          .parent_ = span.parent_,
                          .traceparent_ = span.traceparent_,
                          .start_ = span.start_,
                          .end_ = context.now_,
                          .subject_ = std::move(subject)});
    }
}

} // namespace fescuevane::entry

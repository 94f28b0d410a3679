// Purpose: W3C trace context.
#include "entry/tracing_context.hpp"

#include <algorithm>
#include <cstdint>
#include <random>

namespace fescuevane::entry
{
namespace
{

// "00-<trace id>-<span id>-<flags>"
constexpr std::size_t traceparent_size = 55;

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'f');
                       });
}

bool is_hex_id(std::string_view text)
{
    return is_hex(text) && text.find_first_not_of('0') != text.npos;
}

// Later versions may append fields; version 00 has none.
bool has_valid_end(std::string_view version, std::string_view text)
{
    return text.size() == traceparent_size ||
           (version != "00" && text[traceparent_size] == '-');
}

std::string make_random_id(std::size_t digits)
{
    static std::mt19937_64 generator{std::random_device{}()};
    std::string            id(digits, '0');
    while (!is_hex_id(id))
    {
        std::generate(id.begin(), id.end(),
                      []
                      {
                          return "0123456789abcdef"[generator() >> 60];
                      });
    }
    return id;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text)
{
    if (text.size() < traceparent_size || text[2] != '-' || text[35] != '-' ||
        text[52] != '-')
    {
        return std::nullopt;
    }
    std::string_view const version = text.substr(0, 2);
    std::string_view const trace_id = text.substr(3, 32);
    std::string_view const span_id = text.substr(36, 16);
    std::string_view const flags = text.substr(53, 2);
    if (!is_hex(version) || version == "ff" || !is_hex_id(trace_id) ||
        !is_hex_id(span_id) || !is_hex(flags) || !has_valid_end(version, text))
    {
        return std::nullopt;
    }
    return trace_context{.trace_id_ = std::string(trace_id),
                         .span_id_ = std::string(span_id),
                         .flags_ = std::string(flags)};
}

std::string format_traceparent(trace_context const& value)
{
    return "00-" + value.trace_id_ + "-" + value.span_id_ + "-" + value.flags_;
}

trace_context make_child(std::optional<trace_context> const& parent)
{
    return {.trace_id_ = parent ? parent->trace_id_ : make_random_id(32),
            .span_id_ = make_random_id(16),
            .flags_ = parent ? parent->flags_ : "01"};
}

} // namespace fescuevane::entry

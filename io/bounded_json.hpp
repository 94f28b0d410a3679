// Purpose: bounds on the shape of a JSON text before it is parsed.
#ifndef FESCUEVANE_IO_BOUNDED_JSON_HPP
#define FESCUEVANE_IO_BOUNDED_JSON_HPP

#include <compare>
#include <cstddef>
#include <string_view>

namespace fescuevane::io
{

struct json_limits
{
    std::size_t max_depth_ = 64;
    // A parsed value takes tens of bytes, however short its text is. `fits`
    // counts at most one a byte, so a body of 256 KiB can't have more.
    std::size_t max_values_ = 1 << 18;

    friend auto operator<=>(json_limits const&, json_limits const&) = default;
};

// Looks at brackets and commas only; whether the text is well-formed is for the
// parser to say. Up to the first error both see the same shape.
bool fits(std::string_view text, json_limits const& limits);

} // namespace fescuevane::io

#endif

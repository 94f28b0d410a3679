// Purpose: bounds on the shape of a JSON text before it is parsed.
#include "io/bounded_json.hpp"

namespace fescuevane::io
{

bool fits(std::string_view text, json_limits const& limits)
{
    std::size_t depth = 0;
    std::size_t values = 1;
    bool        quoted = false;
    bool        escaped = false;
    for (char const each : text)
    {
        if (quoted)
        {
            quoted = escaped || each != '"';
            escaped = !escaped && each == '\\';
            continue;
        }
        quoted = each == '"';
        bool const opens = each == '[' || each == '{';
        bool const closes = each == ']' || each == '}';
        depth += opens ? 1 : 0;
        depth -= closes && depth > 0 ? 1 : 0;
        values += opens || each == ',' ? 1 : 0;
        if (depth > limits.max_depth_ || values > limits.max_values_)
        {
            return false;
        }
    }
    return true;
}

} // namespace fescuevane::io

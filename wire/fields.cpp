// Purpose: checks of single fields.
#include "wire/fields.hpp"

#include "wire/decode_error.hpp"

#include <algorithm>
#include <memory>

namespace fescuevane::wire::detail
{
namespace
{

bool is_id_character(char c)
{
    return c > ' ' && c <= '~' && c != '/' && c != '#' && c != '"' && c != '\'';
}

} // namespace

std::string join_field(char const* parent, char const* name)
{
    return *parent == '\0' ? std::string(name)
                           : std::string(parent) + "." + name;
}

void check_id(std::string const& value, std::string const& field)
{
    if (value.empty() || value.size() > max_id_bytes)
    {
        throw decode_error(field, "an id has 1 to " +
                                      std::to_string(max_id_bytes) + " bytes");
    }
    if (!std::all_of(value.begin(), value.end(), is_id_character))
    {
        throw decode_error(field, "an id has printable ASCII characters "
                                  "without '/', '#' and quotes");
    }
}

void check_text(std::string const& value, std::string const& field,
                std::size_t max_bytes)
{
    if (value.size() > max_bytes)
    {
        throw decode_error(field, "at most " + std::to_string(max_bytes) +
                                      " bytes are allowed");
    }
}

void check_range(std::int64_t value, std::int64_t low, std::int64_t high,
                 std::string const& field)
{
    if (value < low || value > high)
    {
        throw decode_error(field, std::to_string(value) + " is not in " +
                                      std::to_string(low) + " to " +
                                      std::to_string(high));
    }
}

void check_present(bool is_present, std::string const& field)
{
    if (!is_present)
    {
        throw decode_error(field, "the field is missing");
    }
}

void check_enumerator(bool is_known, std::string const& field)
{
    if (!is_known)
    {
        throw decode_error(field, "the enumerator is not known");
    }
}

shared_bytes decode_bytes(std::string const& value, std::string const& field)
{
    check_text(value, field, max_body_bytes);
    return value.empty() ? nullptr : std::make_shared<std::string const>(value);
}

std::string const& encode_bytes(shared_bytes const& value)
{
    static std::string const empty;
    return value ? *value : empty;
}

} // namespace fescuevane::wire::detail

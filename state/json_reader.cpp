// Purpose: strict reading of JSON values.
#include "state/json_reader.hpp"

#include "state/ticket_error.hpp"

#include <algorithm>

namespace fescuevane::state
{
namespace
{

constexpr std::size_t max_id_bytes = 64;

bool is_id_character(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.';
}

} // namespace

void json_reader::fail(std::string const& expected) const
{
    throw ticket_error((place_.empty() ? "ticket" : place_) + ": expected " +
                       expected);
}

void json_reader::expect_object(
    std::initializer_list<std::string_view> fields) const
{
    if (!value_.is_object())
    {
        fail("an object");
    }
    for (auto const& [name, member] : value_.items())
    {
        if (std::find(fields.begin(), fields.end(), name) == fields.end())
        {
            fail("no field \"" + name + "\"");
        }
    }
}

bool json_reader::has(std::string_view field) const
{
    auto const found = value_.find(field);
    return found != value_.end() && !found->is_null();
}

json_reader json_reader::at(std::string_view field) const
{
    std::string const place =
        (place_.empty() ? "" : place_ + ".") + std::string(field);
    auto const found = value_.find(field);
    if (found == value_.end())
    {
        json_reader(value_, place).fail("a value, the field is missing");
    }
    return {*found, place};
}

std::size_t json_reader::read_size() const
{
    if (!value_.is_array())
    {
        fail("an array");
    }
    return value_.size();
}

json_reader json_reader::at(std::size_t position) const
{
    return {value_.at(position), place_ + "[" + std::to_string(position) + "]"};
}

std::int64_t json_reader::read_integer(std::int64_t least,
                                       std::int64_t most) const
{
    bool const fits =
        value_.is_number_integer() &&
        (!value_.is_number_unsigned() ||
         value_.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    if (!fits || value_.get<std::int64_t>() < least ||
        value_.get<std::int64_t>() > most)
    {
        fail("an integer from " + std::to_string(least) + " to " +
             std::to_string(most));
    }
    return value_.get<std::int64_t>();
}

bool json_reader::read_bool() const
{
    if (!value_.is_boolean())
    {
        fail("true or false");
    }
    return value_.get<bool>();
}

std::string json_reader::read_text(std::size_t most_bytes) const
{
    if (!value_.is_string() ||
        value_.get_ref<std::string const&>().size() > most_bytes)
    {
        fail("a string of at most " + std::to_string(most_bytes) + " bytes");
    }
    return value_.get<std::string>();
}

std::string json_reader::read_id() const
{
    std::string text = read_text(max_id_bytes);
    if (text.empty() || !std::all_of(text.begin(), text.end(), is_id_character))
    {
        fail("1 to 64 characters of A-Z, a-z, 0-9, \"_\", \"-\" and \".\"");
    }
    return text;
}

} // namespace fescuevane::state

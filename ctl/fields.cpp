// Purpose: reading of fields of replies, which may be absent.
#include "ctl/fields.hpp"

namespace fescuevane::ctl
{
namespace
{

json const* find_field(json const& object, char const* field)
{
    if (!object.is_object())
    {
        return nullptr;
    }
    auto const found = object.find(field);
    return found == object.end() ? nullptr : &*found;
}

} // namespace

std::string read_text(json const& object, char const* field)
{
    json const* const value = find_field(object, field);
    return value && value->is_string() ? value->get<std::string>()
                                       : std::string();
}

std::uint64_t read_number(json const& object, char const* field)
{
    json const* const value = find_field(object, field);
    return value && value->is_number_unsigned() ? value->get<std::uint64_t>()
                                                : 0;
}

std::vector<std::string> read_texts(json const& object, char const* field)
{
    std::vector<std::string> texts;
    for (json const& each : read_list(object, field))
    {
        if (each.is_string())
        {
            texts.push_back(each.get<std::string>());
        }
    }
    return texts;
}

json read_list(json const& object, char const* field)
{
    json const* const value = find_field(object, field);
    return value && value->is_array() ? *value : json::array();
}

json read_object(json const& object, char const* field)
{
    json const* const value = find_field(object, field);
    return value && value->is_object() ? *value : json::object();
}

} // namespace fescuevane::ctl

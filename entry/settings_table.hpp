// Purpose: table of the scalar settings, one row a key.
#ifndef FESCUEVANE_ENTRY_SETTINGS_TABLE_HPP
#define FESCUEVANE_ENTRY_SETTINGS_TABLE_HPP

#include "entry/settings.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace fescuevane::entry
{

// Where a value is stored.
using settings_member = std::variant<
    std::string settings::*, std::uint64_t settings::*,
    std::uint32_t settings::*, std::int64_t settings::*,
    host_id state::settings::*, domain_id state::settings::*,
    std::uint32_t state::settings::*, std::int64_t state::settings::*,
    std::uint64_t state::settings::*, std::uint32_t decide::settings::*,
    std::int64_t decide::settings::*, std::uint64_t decide::settings::*>;

// What a text value has to look like.
enum class text_form : std::uint8_t
{
    any,
    name,    // not empty, letters, digits, '-', '_' and '.'
    address, // IP and port
    format,  // of the log
    level    // of the log
};

struct settings_row
{
    std::string_view const section_; // empty: top level
    std::string_view const key_;
    settings_member const  member_;
    std::int64_t const     min_ = 0;   // of a number, as written in the file
    std::int64_t const     max_ = 0;   //
    std::int64_t const     scale_ = 1; // stored units per unit in the file
    text_form const        form_ = text_form::any; // of a text
    std::string_view const help_;
};

std::span<settings_row const> list_settings_rows();

// The struct that holds a member.
inline settings& select_part(settings& values, settings const*)
{
    return values;
}
inline state::settings& select_part(settings& values, state::settings const*)
{
    return values.state_;
}
inline decide::settings& select_part(settings& values, decide::settings const*)
{
    return values.decide_;
}

// The place in `values` that a member pointer names.
template <typename Value, typename Part>
Value& select_member(settings& values, Value Part::*member)
{
    return select_part(values, static_cast<Part const*>(nullptr)).*member;
}

} // namespace fescuevane::entry

#endif

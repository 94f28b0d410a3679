// Purpose: reads the settings of an entry process from a YAML file.
#ifndef FESCUEVANE_ENTRY_SETTINGS_FILE_HPP
#define FESCUEVANE_ENTRY_SETTINGS_FILE_HPP

#include <string>

namespace fescuevane::entry
{

struct settings;

// Reads and checks the whole file. Throws settings_error that lists all unknown
// keys, wrong types, values out of bounds and contradictions. The incarnation
// is not a setting: it has to be new at each start, so the caller sets it.
settings load_settings(std::string const& file);

// The same for text; `name` stands for the file in messages.
settings parse_settings(std::string const& text, std::string const& name);

// YAML that load_settings reads back to the same values, with a comment on the
// unit, bounds and meaning of each key.
std::string print_settings(settings const& values);

} // namespace fescuevane::entry

#endif

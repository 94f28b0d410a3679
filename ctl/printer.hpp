// Purpose: printing of replies as text or JSON.
#ifndef FESCUEVANE_CTL_PRINTER_HPP
#define FESCUEVANE_CTL_PRINTER_HPP

#include "ctl/json.hpp"

#include <iosfwd>
#include <string_view>

namespace fescuevane::ctl
{

// One output format; the formats differ only in these functions.
struct printer
{
    std::string_view name_;
    // Prints one object.
    void (*print_record_)(std::ostream& output, json const& record);
    // Prints the list in the field `list` of `reply`, a row per entry.
    void (*print_rows_)(std::ostream& output, json const& reply,
                        char const* list);
};

// The printer called `name`; null when there is none.
printer const* find_printer(std::string_view name);

} // namespace fescuevane::ctl

#endif

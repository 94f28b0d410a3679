// Purpose: the entry processes of the cell, one row each.
#ifndef FESCUEVANE_TESTS_PROVE_ENTRY_TABLE_HPP
#define FESCUEVANE_TESTS_PROVE_ENTRY_TABLE_HPP

#include "core/column.hpp"

#include <cstdint>
#include <string>

#include <gio/gio.h>

namespace fescuevane::prove
{

enum class entry_phase : std::uint8_t
{
    down,
    starting, // not ready yet
    running,
    stopping // after SIGTERM
};

struct entry_table
{
    column<std::string>  name_;
    column<std::string>  domain_;
    column<std::string>  http_; // IP and port
    column<std::string>  peer_;
    column<std::string>  settings_; // file
    column<std::int64_t> incarnation_;
    column<entry_phase>  phase_;
    column<std::uint8_t> faulty_; // 1: a fault is at work
    column<std::int64_t> stop_began_;
    column<GSubprocess*> process_; // owned by the cell
};

} // namespace fescuevane::prove

#endif

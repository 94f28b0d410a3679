// Purpose: what a target's report of a task says.
#ifndef FESCUEVANE_ENTRY_REPORT_KIND_HPP
#define FESCUEVANE_ENTRY_REPORT_KIND_HPP

#include <cstdint>

namespace fescuevane::entry
{

enum class report_kind : std::uint8_t
{
    running,
    ended,
    rejected // never started, never will
};

} // namespace fescuevane::entry

#endif

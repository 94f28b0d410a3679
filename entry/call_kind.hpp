// Purpose: the kinds of calls, for open calls and latencies.
#ifndef FESCUEVANE_ENTRY_CALL_KIND_HPP
#define FESCUEVANE_ENTRY_CALL_KIND_HPP

#include <cstddef>
#include <cstdint>

namespace fescuevane::entry
{

enum class call_kind : std::uint8_t
{
    submit,
    lookup,
    cancel,
    bulk_cancel,
    ticket,
    read // answered at once
};

constexpr std::size_t call_kind_count = 6;

} // namespace fescuevane::entry

#endif

// Purpose: command: answer a bulk cancellation.
#ifndef FESCUEVANE_ENTRY_CANCEL_TOLD_HPP
#define FESCUEVANE_ENTRY_CANCEL_TOLD_HPP

#include <cstdint>

namespace fescuevane::entry
{

struct cancel_told
{
    std::uint64_t const call_ = 0;
    std::uint64_t const accepted_ = 0; // jobs passed to their owners

    friend bool operator==(cancel_told const&, cancel_told const&) = default;
};

} // namespace fescuevane::entry

#endif

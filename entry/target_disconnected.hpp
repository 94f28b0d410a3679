// Purpose: event: the link to a target broke or could not be opened.
#ifndef FESCUEVANE_ENTRY_TARGET_DISCONNECTED_HPP
#define FESCUEVANE_ENTRY_TARGET_DISCONNECTED_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct target_disconnected
{
    target_id const     target_;
    std::uint64_t const attachment_ = 0; // of the link that broke

    friend bool operator==(target_disconnected const&,
                           target_disconnected const&) = default;
};

} // namespace fescuevane::entry

#endif

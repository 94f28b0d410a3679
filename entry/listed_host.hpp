// Purpose: one worker of the platform's host list.
#ifndef FESCUEVANE_ENTRY_LISTED_HOST_HPP
#define FESCUEVANE_ENTRY_LISTED_HOST_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

struct listed_host
{
    target_id const     target_;
    domain_id const     domain_;
    rack_id const       rack_;
    std::string const   address_; // IP and port of its Target service
    bool const          leaving_ = false;
    resources const     capacity_;
    std::uint32_t const slots_ = 0;

    friend bool operator==(listed_host const&, listed_host const&) = default;
};

} // namespace fescuevane::entry

#endif

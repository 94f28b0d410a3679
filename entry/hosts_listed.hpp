// Purpose: event: the platform's host list was read.
#ifndef FESCUEVANE_ENTRY_HOSTS_LISTED_HPP
#define FESCUEVANE_ENTRY_HOSTS_LISTED_HPP

#include "entry/listed_host.hpp"

#include <vector>

namespace fescuevane::entry
{

// The whole list. It lags behind reality.
struct hosts_listed
{
    std::vector<listed_host> const hosts_;

    friend bool operator==(hosts_listed const&, hosts_listed const&) = default;
};

} // namespace fescuevane::entry

#endif

// Purpose: address of another entry process.
#ifndef FESCUEVANE_STATE_PEER_ADDRESS_HPP
#define FESCUEVANE_STATE_PEER_ADDRESS_HPP

#include "core/ids.hpp"

#include <string>

namespace fescuevane::state
{

struct peer_address
{
    host_id const     host_;
    domain_id const   domain_;
    std::string const address_; // IP and port of its peer service

    friend bool operator==(peer_address const&, peer_address const&) = default;
};

} // namespace fescuevane::state

#endif

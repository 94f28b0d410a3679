// Purpose: event: operators withdrew or restored a failure domain.
#ifndef FESCUEVANE_CELL_DOMAIN_WITHDRAWN_HPP
#define FESCUEVANE_CELL_DOMAIN_WITHDRAWN_HPP

#include "core/ids.hpp"

namespace fescuevane::cell
{

struct domain_withdrawn
{
    domain_id const domain_;
    bool const      out_ = true; // false: restored

    friend bool operator==(domain_withdrawn const&,
                           domain_withdrawn const&) = default;
};

} // namespace fescuevane::cell

#endif

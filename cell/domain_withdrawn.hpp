// Purpose: event: operators took a failure domain out, or back.
#ifndef FESCUEVANE_CELL_DOMAIN_WITHDRAWN_HPP
#define FESCUEVANE_CELL_DOMAIN_WITHDRAWN_HPP

#include "core/ids.hpp"

namespace fescuevane::cell
{

struct domain_withdrawn
{
    domain_id const domain_;
    bool const      out_ = true;

    friend bool operator==(domain_withdrawn const&,
                           domain_withdrawn const&) = default;
};

} // namespace fescuevane::cell

#endif

// Purpose: what the configuration says about one organisation.
#ifndef FESCUEVANE_CORE_ORGANISATION_SHARE_HPP
#define FESCUEVANE_CORE_ORGANISATION_SHARE_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace fescuevane
{

// `limit_`: the most that may run at once in the whole fleet, 0: no limit.
struct organisation_share
{
    organisation_id id_;
    double          weight_ = 1; // share when all is full; jobs a second owed
    resources       limit_;

    friend bool operator==(organisation_share const&,
                           organisation_share const&) = default;
};

} // namespace fescuevane

#endif

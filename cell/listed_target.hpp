// Purpose: an entry of the list of targets.
#ifndef FESCUEVANE_CELL_LISTED_TARGET_HPP
#define FESCUEVANE_CELL_LISTED_TARGET_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <string>
#include <vector>

namespace fescuevane::cell
{

struct listed_target
{
    target_id const                id_;
    std::string const              address_; // IP:port
    domain_id const                domain_;
    service_id const               service_;
    rack_id const                  rack_;
    std::vector<std::string> const labels_;
    resources const                capacity_;
    bool const                     leaving_ = false;
    std::int64_t const born_unix_ms_ = 0; // start of this incarnation

    friend bool operator==(listed_target const&,
                           listed_target const&) = default;
};

} // namespace fescuevane::cell

#endif

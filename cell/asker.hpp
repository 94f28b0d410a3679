// Purpose: host that could send a request to the policy service. Internal to
// the package.
#ifndef FESCUEVANE_CELL_ASKER_HPP
#define FESCUEVANE_CELL_ASKER_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct asker
{
    host_id const      host_;
    instant const      free_at_; // its earlier requests are answered
    std::int64_t const penalty_micros_ = 0;

    friend auto operator<=>(asker const&, asker const&) = default;
};

} // namespace fescuevane::cell

#endif

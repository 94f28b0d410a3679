// Purpose: one complete version of the configuration.
#ifndef FESCUEVANE_CELL_CELL_CONFIG_HPP
#define FESCUEVANE_CELL_CELL_CONFIG_HPP

#include "cell/organisation_entry.hpp"
#include "cell/queue_route.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::cell
{

struct cell_config
{
    std::uint64_t                   version_ = 0; // increases, with gaps
    std::vector<queue_route>        routes_;
    std::vector<organisation_entry> organisations_;
    std::uint32_t                   max_body_bytes_ = 262144;

    friend bool operator==(cell_config const&, cell_config const&) = default;
};

} // namespace fescuevane::cell

#endif

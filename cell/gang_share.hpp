// Purpose: number of tasks of a gang assigned to one shard.
#ifndef FESCUEVANE_CELL_GANG_SHARE_HPP
#define FESCUEVANE_CELL_GANG_SHARE_HPP

#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct gang_share
{
    shard_id      shard_;
    std::uint32_t tasks_ = 0;

    friend bool operator==(gang_share const&, gang_share const&) = default;
};

} // namespace fescuevane::cell

#endif

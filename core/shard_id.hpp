// Purpose: identifies a shard, the part of a failure domain's targets that one
// entry process owns at a time.
#ifndef FESCUEVANE_CORE_SHARD_ID_HPP
#define FESCUEVANE_CORE_SHARD_ID_HPP

#include "core/ids.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane
{

struct shard_id
{
    domain_id     domain_;
    std::uint32_t index_ = 0; // from 0, below the domain's shard count

    friend auto operator<=>(shard_id const&, shard_id const&) = default;
};

} // namespace fescuevane

template <>
struct std::hash<fescuevane::shard_id>
{
    std::size_t operator()(fescuevane::shard_id const& id) const
    {
        return std::hash<fescuevane::domain_id>{}(id.domain_) * 31 + id.index_;
    }
};

#endif

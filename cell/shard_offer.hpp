// Purpose: how many tasks of another shard's stage a shard could run.
#ifndef FESCUEVANE_CELL_SHARD_OFFER_HPP
#define FESCUEVANE_CELL_SHARD_OFFER_HPP

#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct shard_offer
{
    shard_id      shard_;
    std::uint32_t fit_now_ = 0;   // tasks that could start now
    std::uint32_t fit_later_ = 0; // once other work there has ended
    std::uint32_t fit_free_ = 0;  // now, with or without tickets
    std::uint32_t unknown_ = 0;   // targets not known to be allowed or not

    friend bool operator==(shard_offer const&, shard_offer const&) = default;
};

} // namespace fescuevane::cell

#endif

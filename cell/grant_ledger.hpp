// Purpose: targets of an owned shard on which leases may be running, as the
// store names them.
#ifndef FESCUEVANE_CELL_GRANT_LEDGER_HPP
#define FESCUEVANE_CELL_GRANT_LEDGER_HPP

#include "cell/listed_target.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace fescuevane::cell
{

using granted_targets =
    std::map<target_id, std::shared_ptr<listed_target const>>;

struct grant_ledger
{
    bool            loaded_ = false;
    bool            found_ = false;     // a former owner has written the row
    granted_targets stored_;            // certainly named by the stored row
    granted_targets writing_;           // targets that `request_` writes
    bool            unsettled_ = false; // a write may still be performed
    revision        revision_ = 0;
    std::uint64_t   request_ = 0; // in flight, 0: none
    instant         retry_at_;
    instant         write_at_ = instant::never(); // when to write changes
};

} // namespace fescuevane::cell

#endif

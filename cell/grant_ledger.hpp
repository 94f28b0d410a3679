// Purpose: targets of an owned shard on which leases may run, as the store
// names them.
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
    granted_targets stored_;            // named by the row for sure
    granted_targets writing_;           // by `request_`
    bool            unsettled_ = false; // by a write that isn't known as done
    revision        revision_ = 0;
    std::uint64_t   request_ = 0; // in flight, 0: none
    instant         retry_at_;
    instant         write_at_ = instant::never(); // something has changed
};

} // namespace fescuevane::cell

#endif

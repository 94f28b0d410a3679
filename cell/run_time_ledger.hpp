// Purpose: what an owner has sent and stored of the run times that its shard
// learnt.
#ifndef FESCUEVANE_CELL_RUN_TIME_LEDGER_HPP
#define FESCUEVANE_CELL_RUN_TIME_LEDGER_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/run_time_row.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

struct run_time_ledger
{
    // Heartbeats: rows of the next one, and for each key the time of the latest
    // sample sent and when to send the row again without a newer one.
    std::vector<plan::run_time_row>                                batch_;
    std::map<plan::run_time_key, std::pair<std::int64_t, instant>> sent_;
    instant                                                        share_at_;

    // Row of the shard in the store
    bool          loaded_ = false; // has been read, or there is none
    revision      revision_ = 0;
    std::uint64_t request_ = 0; // in flight, 0: none
    instant       retry_at_;
    instant       write_at_;             // earliest next write
    std::int64_t  stored_unix_ms_ = 0;   // latest sample in the stored row
    std::int64_t  writing_unix_ms_ = 0;  // and in the row that is being written
    bool          last_written_ = false; // at the hand-over, or was tried
};

} // namespace fescuevane::cell

#endif

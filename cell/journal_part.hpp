// Purpose: jobs of an owned shard in one partition of the store.
#ifndef FESCUEVANE_CELL_JOURNAL_PART_HPP
#define FESCUEVANE_CELL_JOURNAL_PART_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace fescuevane::cell
{

struct journal_part
{
    bool             fenced_ = false; // this owner holds the fence row
    revision         fence_ = 0;      // revision of the fence row
    bool             loaded_ = false;
    std::string      load_from_;     // next key to read
    std::uint32_t    load_rows_ = 0; // of the read in flight or the latest one
    std::uint64_t    request_ = 0;   // in flight, 0: none
    instant          retry_at_;
    std::set<job_id> dirty_; // jobs with unwritten changes
    instant          flush_at_ = instant::never();
};

} // namespace fescuevane::cell

#endif

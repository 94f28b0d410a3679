// Purpose: the table of runs, with indexes by job, origin, target and trait.
// Internal to the package.
#ifndef FESCUEVANE_PLAN_RUN_TABLE_HPP
#define FESCUEVANE_PLAN_RUN_TABLE_HPP

#include "core/run_key.hpp"
#include "core/table.hpp"
#include "plan/row_groups.hpp"
#include "plan/run_row.hpp"
#include "plan/run_trait.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace fescuevane::plan
{

// Row numbers and pointers are valid until the next insertion or removal. Only
// the state of a run can be changed in place, so the indexes always match the
// rows.
class run_table
{
public:
    using rows = std::span<std::size_t const>; // in table order

    std::size_t    size() const { return rows_.size(); }
    bool           empty() const { return rows_.empty(); }
    run_key const& key(std::size_t row) const { return rows_.key(row); }
    run_row const& operator[](std::size_t row) const
    {
        ++reads_;
        return rows_[row];
    }
    run_row const* find(run_key const& key) const { return rows_.find(key); }

    run_state* find_state(run_key const& key) { return rows_.find(key); }
    run_state& state(std::size_t row) { return rows_[row]; }

    rows of_job(job_id const& job) const { return by_job_.find(job); }
    rows of_origin(stage_key const& stage) const
    {
        return by_origin_.find(stage);
    }
    rows on_target(target_id const& target) const
    {
        return by_target_.find(target);
    }
    rows with(run_trait trait) const { return by_trait_.find(trait); }

    // Number of reads by row number so far, by which tests measure the cost of
    // scans.
    std::uint64_t reads() const { return reads_; }

    // Replaces an existing row of the key.
    run_row const& insert(run_key const& key, run_row const& run);
    bool           remove(run_key const& key);

private:
    void add_to_groups(std::size_t row);
    void remove_from_groups(std::size_t row);

    table<run_key, run_row> rows_;
    row_groups<job_id>      by_job_;
    row_groups<stage_key>   by_origin_;
    row_groups<target_id>   by_target_;
    row_groups<run_trait>   by_trait_;
    mutable std::uint64_t   reads_ = 0;
};

std::vector<run_trait> list_traits(run_row const& run);

} // namespace fescuevane::plan

#endif

// Purpose: the table of runs.
#include "plan/run_table.hpp"

namespace fescuevane::plan
{

std::vector<run_trait> list_traits(run_row const& run)
{
    std::vector<run_trait> traits;
    if (run.filler_)
    {
        traits.push_back(run_trait::filler);
    }
    if (run.latency_target_ms_ > 0)
    {
        traits.push_back(run_trait::latency_bound);
    }
    if (run.speculative_)
    {
        traits.push_back(run_trait::speculative);
    }
    return traits;
}

run_row const& run_table::insert(run_key const& key, run_row const& run)
{
    remove(key);
    rows_.ensure(key) = run;
    std::size_t const row = rows_.size() - 1;
    add_to_groups(row);
    return rows_[row];
}

bool run_table::remove(run_key const& key)
{
    run_row const* const found = rows_.find(key);
    if (found == nullptr)
    {
        return false;
    }
    auto const        row = static_cast<std::size_t>(found - &rows_[0]);
    std::size_t const last = rows_.size() - 1;
    remove_from_groups(row);
    if (row != last)
    {
        remove_from_groups(last);
    }
    rows_.remove(key);
    if (row != last)
    {
        add_to_groups(row); // the last row was moved here
    }
    return true;
}

void run_table::add_to_groups(std::size_t row)
{
    run_row const& run = rows_[row];
    by_job_.add(rows_.key(row).stage_.job_, row);
    by_origin_.add(run.origin_, row);
    by_target_.add(run.target_, row);
    for (run_trait const trait : list_traits(run))
    {
        by_trait_.add(trait, row);
    }
}

void run_table::remove_from_groups(std::size_t row)
{
    run_row const& run = rows_[row];
    by_job_.remove(rows_.key(row).stage_.job_, row);
    by_origin_.remove(run.origin_, row);
    by_target_.remove(run.target_, row);
    for (run_trait const trait : list_traits(run))
    {
        by_trait_.remove(trait, row);
    }
}

} // namespace fescuevane::plan

// Purpose: run times learnt from finished runs, of one shard and of all shards.
// No network and no clock.
#ifndef FESCUEVANE_PLAN_RUN_TIMES_HPP
#define FESCUEVANE_PLAN_RUN_TIMES_HPP

#include "core/table.hpp"
#include "plan/run_time_estimate.hpp"
#include "plan/run_time_key.hpp"
#include "plan/run_time_row.hpp"
#include "plan/run_time_sample.hpp"
#include "plan/run_time_sums.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuevane::plan
{

// Most rows that one shard keeps, shares and stores.
constexpr std::size_t max_run_time_rows = 128;

struct run_times
{
    table<run_time_key, run_time_row> own_;    // learnt by this shard
    std::vector<run_time_row>         others_; // one row a key and other shard
    // Sums over own, other and running samples, also of wider keys.
    table<run_time_key, run_time_sums> merged_;
    // Weight of the ended runs in `merged_`, of keys with all members only.
    table<run_time_key, double> ended_;
};

// Adds a finished, whole run to the shard's own rows.
void learn_run_time(run_times& context, run_time_sample const& sample,
                    std::int64_t unix_ms);

// Computes `merged_`. Tasks that still run count as censored samples: each with
// the run time that is expected of a task that has run for so long.
void merge_run_times(run_times&                          context,
                     std::vector<run_time_sample> const& running,
                     std::int64_t                        unix_ms);

// From the samples of the key and, up to a weight each, those of the wider
// keys; the declared run time if there are none.
run_time_estimate estimate_run_time(run_times const&    context,
                                    run_time_key const& key,
                                    double              declared_ms);

// False for rows that no shard can have learnt: values that aren't finite or
// not consistent, or a time in the future.
bool is_plausible(run_time_row const& row, std::int64_t unix_ms);

// The newer row of each key. Rows that aren't plausible are left out.
void restore_run_times(run_times&                       context,
                       std::vector<run_time_row> const& rows,
                       std::int64_t                     unix_ms);

std::vector<run_time_row> list_own_run_times(run_times const& context);

} // namespace fescuevane::plan

#endif

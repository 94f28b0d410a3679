// Purpose: quantiles of classes of work.
#include "decide/estimate_table.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace fescuevane::decide
{
namespace
{

constexpr std::size_t ring_size = 32;  // follows a change of load in 32 tasks
constexpr std::size_t least_tasks = 8; // fewer say too little about a tail
constexpr std::size_t quantile_percent = 90;

// Nearest-rank quantile of one measure of the samples.
template <typename Sample, typename Measure>
std::int64_t compute_quantile(std::vector<Sample> const& samples,
                              Measure                    measure)
{
    std::vector<std::int64_t> values;
    values.reserve(samples.size());
    for (Sample const& sample : samples)
    {
        values.push_back(std::invoke(measure, sample));
    }
    auto const rank =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) *
                                                     quantile_percent / 100);
    std::nth_element(values.begin(), rank, values.end());
    return *rank;
}

template <typename Sample>
void add_to_ring(std::vector<Sample>& ring, std::size_t cell,
                 Sample const& sample)
{
    if (ring.size() < ring_size)
    {
        ring.push_back(sample);
    }
    else
    {
        ring[cell % ring_size] = sample;
    }
}

} // namespace

std::size_t find_or_append_class(estimate_table& table, team_id const& team,
                                 service_id const& service)
{
    job_key const key{team, job_id(service.str())};
    if (auto const row = table.index_.find(key))
    {
        return *row;
    }
    table.peaks_.append({});
    table.runs_.append({});
    table.next_.append(0);
    table.usage_quantile_.append({});
    table.run_quantile_.append(0);
    return table.index_.append(key);
}

void learn_task(estimate_table& table, std::size_t row, resources const& peak,
                std::int64_t run_micros)
{
    std::size_t const cell = table.next_[row]++;
    add_to_ring(table.runs_[row], cell, run_micros);
    if (!peak.is_zero())
    {
        add_to_ring(table.peaks_[row], cell, peak);
    }
    if (table.runs_[row].size() >= least_tasks)
    {
        table.run_quantile_[row] =
            compute_quantile(table.runs_[row], std::identity());
    }
    auto const& peaks = table.peaks_[row];
    if (peaks.size() >= least_tasks)
    {
        table.usage_quantile_[row] = {
            compute_quantile(peaks, &resources::cpu_millis),
            compute_quantile(peaks, &resources::memory_mib),
            compute_quantile(peaks, &resources::accelerators)};
    }
}

} // namespace fescuevane::decide

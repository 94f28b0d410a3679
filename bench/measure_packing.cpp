// Purpose: reserved share of capacity when demand meets or exceeds it, with
// mixed sizes and gangs, against first-fit and best-fit.
#include "bench/array_fleet.hpp"
#include "bench/fleet.hpp"
#include "bench/measure.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t  tick_micros = 100'000;
constexpr std::uint32_t warm_ticks = 600;
constexpr std::uint32_t ticks = 1'200;
constexpr std::int64_t  mean_run_micros = 20 * micros_per_second;

// Tasks of one to sixteen cores; a tenth of the jobs are gangs of 4 to 8.
job_spec draw_job(workload& jobs, resources const& capacity)
{
    std::int64_t const  cores = std::int64_t{1000} << jobs.draw(4);
    resources const     demand(cores,
                               cores * capacity.memory_mib() /
                                   capacity.cpu_millis() * (50 + jobs.draw(80)) /
                                   100,
                               0);
    std::uint32_t const pick = jobs.draw(10);
    work_kind const     kind = pick == 0   ? work_kind::gang
                               : pick <= 6 ? work_kind::batch
                                           : work_kind::request;
    std::int64_t const  run =
        mean_run_micros / 2 + mean_run_micros * jobs.draw(1000) / 1000;
    return jobs.make_job(jobs.next_team(), kind,
                         kind == work_kind::gang ? 4 + jobs.draw(5) : 1, demand,
                         run);
}

struct packing_result
{
    double reserved_ = 0; // part of the capacity of the dominant resource
    double demand_ = 0;   // same, of all that was submitted, over time
};

// Submits `load` times the capacity and averages what is reserved.
template <typename Fleet>
packing_result run_load(Fleet& targets, fleet_size const& size, double load,
                        std::uint64_t seed)
{
    workload        jobs(seed, size.teams_);
    resources const capacity = size.capacity_ * size.targets_;
    double          cpu_due = 0;
    double          memory_submitted = 0;
    double          cpu_submitted = 0;
    double          cpu_reserved = 0;
    double          memory_reserved = 0;
    for (std::uint32_t tick = 0; tick < warm_ticks + ticks; ++tick)
    {
        cpu_due += load * static_cast<double>(capacity.cpu_millis()) *
                   static_cast<double>(tick_micros);
        while (cpu_due > 0)
        {
            job_spec const spec = draw_job(jobs, size.capacity_);
            double const   span = static_cast<double>(spec.task_count_) *
                                static_cast<double>(spec.declared_run_micros_);
            cpu_due -= static_cast<double>(spec.demand_.cpu_millis()) * span;
            cpu_submitted +=
                static_cast<double>(spec.demand_.cpu_millis()) * span;
            memory_submitted +=
                static_cast<double>(spec.demand_.memory_mib()) * span;
            targets.submit(spec);
        }
        targets.advance(tick_micros);
        targets.tick();
        if (tick >= warm_ticks)
        {
            cpu_reserved += static_cast<double>(targets.used().cpu_millis());
            memory_reserved += static_cast<double>(targets.used().memory_mib());
        }
    }
    double const all_micros =
        static_cast<double>(warm_ticks + ticks) * tick_micros;
    auto const cpu = static_cast<double>(capacity.cpu_millis());
    auto const memory = static_cast<double>(capacity.memory_mib());
    return {std::max(cpu_reserved / cpu, memory_reserved / memory) / ticks,
            std::max(cpu_submitted / cpu, memory_submitted / memory) /
                all_micros};
}

} // namespace

void measure_packing(std::uint64_t seed, std::vector<figure>& output)
{
    std::vector<fleet_size> const sizes = {
        {"siphona", 50, {64'000, 131'072, 0}, 60, 6},
        {"ingamba", 50, {16'000, 65'536, 0}, 60, 6}};
    for (fleet_size const& size : sizes)
    {
        for (double const load : {0.9, 1.0, 1.2})
        {
            fleet             ours(size, {});
            array_fleet       first(size, find_first_fit);
            array_fleet       best(size, find_best_fit);
            auto const        of_ours = run_load(ours, size, load, seed);
            auto const        of_first = run_load(first, size, load, seed);
            auto const        of_best = run_load(best, size, load, seed);
            double const      bound = std::min(1.0, of_ours.demand_);
            std::string const name =
                size.name_ + ", demand " + std::to_string(load).substr(0, 3);
            output.push_back(
                {"packing",
                 name,
                 "reserved, % of bound",
                 100 * of_ours.reserved_ / bound,
                 100 * std::max(of_first.reserved_, of_best.reserved_) / bound,
                 {aim_kind::at_least, 95}});
            output.push_back({"packing",
                              name,
                              "reserved, % of capacity",
                              100 * of_ours.reserved_,
                              100 * of_first.reserved_,
                              {}});
        }
    }
}

} // namespace fescuevane::bench

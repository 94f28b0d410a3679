// Purpose: goodput and waiting of requests with a start deadline below, at and
// above capacity, and what the flood of one team does to the others.
#include "bench/array_fleet.hpp"
#include "bench/fleet.hpp"
#include "bench/measure.hpp"
#include "bench/statistics.hpp"

#include <string>
#include <variant>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t  tick_micros = 1'000;
constexpr std::uint32_t warm_ticks = 3'000;
constexpr std::uint32_t ticks = 10'000;
constexpr std::int64_t  run_micros = 100'000; // mean
constexpr std::int64_t  deadline_micros = 2 * micros_per_second;
constexpr resources     demand(1000, 1024, 0);

struct waiting_result
{
    std::vector<double> millis_;   // of starts before the deadline
    double              good_ = 0; // such starts of the measured span
};

// Keys and submission times of the last tick's starts.
std::vector<job_key> list_started(fleet const& targets)
{
    std::vector<job_key> keys;
    for (decide::command const& each : targets.commands())
    {
        if (auto const* start = std::get_if<decide::start_task>(&each))
        {
            keys.push_back(start->task_.job_);
        }
    }
    return keys;
}

std::vector<job_key> list_started(array_fleet const& targets)
{
    return targets.started();
}

// Demand as parts of the capacity, one entry a team.
using load_list = std::vector<double>;

template <typename Fleet>
waiting_result run_requests(fleet_size const& size, Fleet& targets,
                            load_list const& loads, std::uint64_t seed,
                            std::size_t first_counted)
{
    workload     jobs(seed, size.teams_);
    double const starts_a_tick = static_cast<double>(size.targets_) *
                                 size.slots_ * tick_micros / run_micros;
    std::vector<double>        due(loads.size(), 0.0);
    std::map<job_key, instant> submitted;
    instant                    now(micros_per_second);
    waiting_result             result;
    std::set<team_id>          counted;
    for (std::size_t team = first_counted; team < loads.size(); ++team)
    {
        counted.insert(name_team(static_cast<std::uint32_t>(team)));
    }
    for (std::uint32_t tick = 0; tick < warm_ticks + ticks; ++tick)
    {
        now = now.after(tick_micros);
        targets.advance(tick_micros);
        for (std::uint32_t team = 0; team < loads.size(); ++team)
        {
            // Arrivals vary between none and twice the mean.
            due[team] += loads[team] * starts_a_tick * jobs.draw(2001) / 1000;
            for (; due[team] >= 1; due[team] -= 1)
            {
                std::int64_t const run =
                    run_micros / 2 + run_micros * jobs.draw(1000) / 1000;
                job_spec const spec =
                    jobs.make_job(name_team(team), work_kind::request, 1,
                                  demand, run, now.after(deadline_micros));
                submitted.emplace(spec.key_, now);
                targets.submit(spec);
            }
        }
        targets.tick();
        for (job_key const& key : list_started(targets))
        {
            std::int64_t const waited = submitted.at(key).remaining_until(now);
            if (tick >= warm_ticks && counted.contains(key.team_) &&
                waited <= deadline_micros)
            {
                result.millis_.push_back(static_cast<double>(waited) /
                                         micros_per_milli);
                result.good_ += 1;
            }
        }
    }
    return result;
}

void measure_loads(fleet_size const& size, std::uint64_t seed,
                   std::vector<figure>& output)
{
    double const capacity = static_cast<double>(size.targets_) * size.slots_ *
                            tick_micros / run_micros * ticks;
    for (double const load : {0.5, 1.0, 2.0, 4.0})
    {
        load_list const   loads(size.teams_, load / size.teams_);
        fleet             ours(size, {});
        array_fleet       base(size, find_first_fit);
        auto const        of_ours = run_requests(size, ours, loads, seed, 0);
        auto const        of_base = run_requests(size, base, loads, seed, 0);
        double const      bound = capacity * std::min(1.0, load);
        std::string const name = size.name_ + ", " +
                                 std::to_string(load).substr(0, 3) +
                                 " times capacity";
        output.push_back({"overload",
                          name,
                          "goodput, % of what fits",
                          100 * of_ours.good_ / bound,
                          100 * of_base.good_ / bound,
                          {}});
        output.push_back(
            {"overload",
             name,
             "p99 of waiting, ms",
             find_quantile(of_ours.millis_, 0.99),
             find_quantile(of_base.millis_, 0.99),
             {aim_kind::at_most,
              static_cast<double>(deadline_micros) / micros_per_milli}});
    }
}

// The first team asks for four times the capacity, the others for a tenth
// each. The baseline is the same scheduler without the first team's flood.
void measure_flood(fleet_size const& size, std::uint64_t seed,
                   std::vector<figure>& output)
{
    load_list calm(size.teams_, 0.1);
    load_list flood = calm;
    flood[0] = 4.0;
    fleet        with(size, {});
    fleet        without(size, {});
    auto const   of_with = run_requests(size, with, flood, seed, 1);
    auto const   of_without = run_requests(size, without, calm, seed, 1);
    double const before = find_quantile(of_without.millis_, 0.99);
    auto const   name = size.name_ + ", flood of one team";
    // A full shard has no free slot at the instant of a request, so one wait
    // for the next tick is allowed for.
    output.push_back(
        {"overload",
         name,
         "p99 of waiting of the others, ms",
         find_quantile(of_with.millis_, 0.99),
         before,
         {aim_kind::at_most,
          before + static_cast<double>(tick_micros) / micros_per_milli}});
    output.push_back({"overload",
                      name,
                      "goodput of the others, starts",
                      of_with.good_,
                      of_without.good_,
                      {}});
}

} // namespace

void measure_overload(std::uint64_t seed, std::vector<figure>& output)
{
    fleet_size const size{"siphona", 50, {64'000, 131'072, 0}, 8, 6};
    measure_loads(size, seed, output);
    measure_flood(size, seed, output);
}

} // namespace fescuevane::bench

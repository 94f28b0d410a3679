// Purpose: processor time of ticks at a steady rate of starts, and in bursts,
// against first-fit over arrays.
//
// Index of sections
//   1. Settings
//   2. Runs
//   3. Figures
#include "bench/array_fleet.hpp"
#include "bench/fleet.hpp"
#include "bench/measure.hpp"
#include "bench/statistics.hpp"

#include <algorithm>
#include <string>

namespace fescuevane::bench
{
namespace
{

// 1. Settings

constexpr std::int64_t  tick_micros = 10'000;
constexpr std::int64_t  service_micros = 3'600 * micros_per_second;
constexpr std::uint32_t fill_jobs = 200; // a tick, below `tick_starts_`

struct decision_setting
{
    fleet_size const    size_;
    std::uint32_t const running_ = 0;         // tasks in the steady state
    std::uint32_t const starts_a_second_ = 0; //
    double const        p99_aim_micros_ = 0;  // 0: no aim
};

std::vector<decision_setting> list_settings()
{
    resources const large(64'000, 131'072, 0);
    resources const small(16'000, 65'536, 0);
    return {{{"siphona, 50 targets", 50, large, 8, 6}, 320, 890, 1000},
            {{"ingamba, 50 targets", 50, small, 8, 6}, 320, 890, 1000},
            {{"400 targets", 400, large, 16, 160}, 5'300, 890, 0},
            {{"1,800 targets", 1'800, large, 16, 160}, 24'000, 890, 5000}};
}

// 2. Runs

struct run_result
{
    std::vector<double> micros_; // of each tick
    double              all_micros_ = 0;
    double              start_tick_micros_ = 0; // of ticks with starts
    std::uint64_t       starts_ = 0;
};

// Services fill a fifth of the running tasks and stay. The rest end after
// the time that keeps the number of running tasks at the given rate.
template <typename Fleet>
run_result run_setting(Fleet& targets, decision_setting const& setting,
                       std::uint64_t seed, std::uint32_t ticks)
{
    workload            jobs(seed, setting.size_.teams_);
    std::uint32_t const services = setting.running_ / 5;
    std::int64_t const  run_micros = (setting.running_ - services) *
                                    micros_per_second /
                                    setting.starts_a_second_;
    auto const submit = [&](std::int64_t run)
    {
        bool const      service = run == service_micros;
        resources const demand(250 + jobs.draw(4) * 250,
                               256 + jobs.draw(4) * 256, 0);
        targets.submit(jobs.make_job(
            jobs.next_team(), service ? work_kind::service : work_kind::request,
            1, demand, run));
    };
    for (std::uint32_t filled = 0; filled < services; ++filled)
    {
        submit(service_micros);
        if (filled % fill_jobs == fill_jobs - 1)
        {
            targets.tick();
        }
    }
    targets.tick();
    run_result   result;
    double       due = 0;
    double const a_tick = setting.starts_a_second_ *
                          static_cast<double>(tick_micros) / micros_per_second;
    auto const warm_ticks =
        static_cast<std::uint32_t>(run_micros * 5 / 4 / tick_micros) + 10;
    for (std::uint32_t tick = 0; tick < warm_ticks + ticks; ++tick)
    {
        for (due += a_tick; due >= 1; due -= 1)
        {
            // Half to one and a half times the mean.
            submit(run_micros / 2 + run_micros * jobs.draw(1000) / 1000);
        }
        targets.advance(tick_micros);
        tick_sample const sample = targets.tick();
        if (tick >= warm_ticks)
        {
            result.micros_.push_back(sample.micros_);
            result.all_micros_ += sample.micros_;
            result.start_tick_micros_ +=
                sample.starts_ > 0 ? sample.micros_ : 0;
            result.starts_ += sample.starts_;
        }
    }
    return result;
}

// Tasks that start in full ticks: what one core places at most.
template <typename Fleet>
run_result run_burst(Fleet& targets, decision_setting const& setting,
                     std::uint64_t seed)
{
    constexpr std::uint32_t rounds = 200;
    workload                jobs(seed, setting.size_.teams_);
    run_result              result;
    std::uint32_t const     batch = std::min(fill_jobs, setting.running_ / 2);
    for (std::uint32_t round = 0; round < rounds; ++round)
    {
        for (std::uint32_t job = 0; job < batch; ++job)
        {
            targets.submit(jobs.make_job(jobs.next_team(), work_kind::request,
                                         1, {500, 512, 0}, tick_micros));
        }
        targets.advance(tick_micros);
        tick_sample const sample = targets.tick();
        result.micros_.push_back(sample.micros_);
        result.all_micros_ += sample.micros_;
        result.starts_ += sample.starts_;
    }
    result.start_tick_micros_ = result.all_micros_;
    return result;
}

// 3. Figures

double micros_a_start(run_result const& value)
{
    return value.all_micros_ /
           static_cast<double>(std::max<std::uint64_t>(1, value.starts_));
}

void add_steady(decision_setting const& setting, run_result const& ours,
                run_result const& base, std::vector<figure>& output)
{
    std::string const name = setting.size_.name_ + ", 890 starts/s";
    auto const        add =
        [&](char const* text, double value, double baseline, aim const& wanted)
    {
        output.push_back({"decision", name, text, value, baseline, wanted});
    };
    bool const has_aim = setting.p99_aim_micros_ > 0;
    add("tick p50, us", find_quantile(ours.micros_, 0.5),
        find_quantile(base.micros_, 0.5), {});
    add("tick p99, us", find_quantile(ours.micros_, 0.99),
        find_quantile(base.micros_, 0.99),
        {has_aim ? aim_kind::at_most : aim_kind::none,
         setting.p99_aim_micros_});
    add("tick max, us", find_quantile(ours.micros_, 1),
        find_quantile(base.micros_, 1), {});
    add("all tick time a start, us", micros_a_start(ours), micros_a_start(base),
        {});
    add("time of ticks with starts a start, us",
        ours.start_tick_micros_ /
            static_cast<double>(std::max<std::uint64_t>(1, ours.starts_)),
        base.start_tick_micros_ /
            static_cast<double>(std::max<std::uint64_t>(1, base.starts_)),
        {});
    add("starts measured", static_cast<double>(ours.starts_),
        static_cast<double>(base.starts_), {});
}

} // namespace

void measure_decision(std::uint64_t seed, std::vector<figure>& output)
{
    constexpr std::uint32_t ticks = 2'000;
    std::vector<double>     burst_costs;
    for (decision_setting const& setting : list_settings())
    {
        {
            fleet            ours(setting.size_, {});
            array_fleet      base(setting.size_, find_first_fit);
            run_result const of_ours = run_setting(ours, setting, seed, ticks);
            run_result const of_base = run_setting(base, setting, seed, ticks);
            add_steady(setting, of_ours, of_base, output);
            output.push_back({"decision",
                              setting.size_.name_,
                              "running tasks",
                              static_cast<double>(ours.running().size()),
                              {},
                              {}});
        }
        fleet            ours(setting.size_, {});
        array_fleet      base(setting.size_, find_first_fit);
        run_result const of_ours = run_burst(ours, setting, seed);
        run_result const of_base = run_burst(base, setting, seed);
        burst_costs.push_back(micros_a_start(of_ours));
        output.push_back({"decision",
                          setting.size_.name_ + ", burst",
                          "placements/s",
                          1e6 / micros_a_start(of_ours),
                          1e6 / micros_a_start(of_base),
                          {aim_kind::at_least, 50'000}});
    }
    // The design asks for a constant cost; a quarter is left for caches.
    output.push_back({"decision",
                      "burst, 1,800 to 50 targets",
                      "cost of a placement, times",
                      burst_costs.back() / burst_costs.front(),
                      {},
                      {aim_kind::at_most, 1.25}});
}

} // namespace fescuevane::bench

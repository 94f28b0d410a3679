// Purpose: processor time of a planner's ticks in a steady state, by system.
#include "bench/measure.hpp"
#include "bench/planner_fleet.hpp"
#include "bench/statistics.hpp"
#include "plan/planner.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::uint32_t warm_ticks = 5'000;
constexpr std::uint32_t ticks = 2'500;    // 10 s
constexpr std::uint32_t calm_ticks = 500; // at most, until nothing waits
constexpr std::uint32_t idle_ticks = 250;

struct planner_result
{
    std::vector<double> micros_; // of each tick
    std::vector<double> system_micros_ =
        std::vector<double>(plan::list_systems().size());
    double        all_micros_ = 0;
    std::uint64_t starts_ = 0;
};

void add_sample(planner_result& result, planner_sample const& sample)
{
    result.micros_.push_back(sample.all_micros_);
    result.all_micros_ += sample.all_micros_;
    result.starts_ += sample.starts_;
    for (std::size_t row = 0; row < sample.system_micros_.size(); ++row)
    {
        result.system_micros_[row] += sample.system_micros_[row];
    }
}

void run_size(std::uint32_t targets, std::uint64_t seed,
              std::vector<figure>& output)
{
    std::string const name = std::to_string(targets) + " targets";
    auto const        add =
        [&](std::string const& text, double value, aim const& wanted = {})
    {
        output.push_back({"planner", name, text, value, {}, wanted});
    };
    planner_fleet fleet(seed, targets);
    for (std::uint32_t tick = 0; tick < warm_ticks; ++tick)
    {
        fleet.step(true);
    }
    planner_result result;
    double         load = 0;
    double         summary_micros = 0;
    for (std::uint32_t tick = 0; tick < ticks; ++tick)
    {
        add_sample(result, fleet.step(true));
        load += fleet.load() / ticks;
        double const before = read_processor_micros();
        fleet.summarize();
        summary_micros += read_processor_micros() - before;
    }
    add("load mean, %", load * 100);
    add("runs", static_cast<double>(fleet.count_runs()));
    add("jobs", static_cast<double>(fleet.count_jobs()));
    add("open stages", static_cast<double>(fleet.count_open_stages()));
    add("waiting tasks", static_cast<double>(fleet.count_waiting()));
    add("starts measured", static_cast<double>(result.starts_));
    add("tick p50, us", find_quantile(result.micros_, 0.5),
        {targets == 60 ? aim_kind::at_most : aim_kind::none, 300});
    add("tick p99, us", find_quantile(result.micros_, 0.99));
    add("tick mean, us", result.all_micros_ / ticks);
    add("all tick time a start, us",
        result.all_micros_ /
            static_cast<double>(std::max<std::uint64_t>(1, result.starts_)));
    add("queries of a heartbeat, us", summary_micros / ticks);
    auto const add_systems =
        [&](std::string const& prefix, planner_result const& from)
    {
        for (std::size_t row = 0; row < from.system_micros_.size(); ++row)
        {
            add(prefix + std::string(plan::list_systems()[row].name_) +
                    " mean, us",
                from.system_micros_[row] /
                    static_cast<double>(from.micros_.size()));
        }
    };
    add_systems("", result);
    for (std::uint32_t tick = 0;
         tick < calm_ticks && (tick == 0 || fleet.count_waiting() > 0); ++tick)
    {
        fleet.step(false);
    }
    planner_result idle;
    for (std::uint32_t tick = 0; tick < idle_ticks; ++tick)
    {
        add_sample(idle, fleet.step_idle());
    }
    add("idle: runs", static_cast<double>(fleet.count_runs()));
    add("idle: waiting tasks", static_cast<double>(fleet.count_waiting()));
    add("idle: tick p50, us", find_quantile(idle.micros_, 0.5));
    add("idle: tick mean, us", idle.all_micros_ / idle_ticks);
    add_systems("idle: ", idle);
    // Five digits are enough to notice a change of the decisions.
    add("checksum of commands",
        static_cast<double>(fleet.checksum() % 100'000));
}

} // namespace

void measure_planner(std::uint64_t seed, std::vector<figure>& output)
{
    for (std::uint32_t const targets : {20U, 60U, 75U, 117U})
    {
        run_size(targets, seed, output);
    }
}

} // namespace fescuevane::bench

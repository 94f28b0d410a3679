// Purpose: time to the first start of steps that need the policy service, in a
// cell whose hosts all stop for a moment. The baseline is the same cell without
// turns, where requests go by rank only.
#include "bench/advice_cell.hpp"
#include "bench/measure.hpp"
#include "bench/statistics.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t hour_micros = 3'600 * micros_per_second;

constexpr instant stop_at(6 * micros_per_second);
constexpr instant restart_at = stop_at.after(micros_per_second);
constexpr instant attach_at = restart_at.after(micros_per_second / 2);
constexpr instant quiet_at = restart_at.after(30 * micros_per_second);
constexpr instant end_at = quiet_at.after(20 * micros_per_second);

// Newer work arrives faster than the questions suffice for, until `quiet_at`.
constexpr double calm_rate = 15; // jobs a second
constexpr double burst_rate = 240;
constexpr double newer_rate = 35; // about 28 a second get an answer

struct advice_result
{
    std::vector<step_wait> waits_;
    double                 answers_ = 0; // a second, while newer work arrives
    double                 starts_ = 0;  // first ones of steps, a second
    double                 in_flight_ = 0;
    double                 used_cpu_ = 0;
};

double count_starts(std::vector<step_wait> const& waits, instant from,
                    instant until)
{
    return static_cast<double>(std::count_if(
        waits.begin(), waits.end(),
        [&](step_wait const& wait)
        {
            instant const at = wait.accepted_at_.after(
                static_cast<std::int64_t>(wait.seconds_ * micros_per_second));
            return wait.started_ && at >= from && at < until;
        }));
}

advice_result run_cell(std::uint64_t seed, plan::settings const& values)
{
    advice_load const load{
        .seed_ = seed,
        .arrivals_ = {{stop_at.after(-micros_per_second), calm_rate},
                      {stop_at, burst_rate},
                      {restart_at, 0},
                      {quiet_at, newer_rate}},
        .stop_at_ = stop_at,
        .restart_at_ = restart_at,
        .attach_at_ = attach_at};
    advice_cell   cell(load, values);
    advice_result result;
    std::uint64_t answered = 0;
    double        ticks = 0;
    while (cell.now() < end_at)
    {
        cell.step();
        if (cell.now() < attach_at)
        {
            answered = cell.answered();
        }
        else if (cell.now() < quiet_at)
        {
            result.answers_ = static_cast<double>(cell.answered() - answered);
            result.in_flight_ += static_cast<double>(cell.in_flight());
            result.used_cpu_ += cell.used_cpu();
            ticks += 1;
        }
    }
    auto const seconds =
        static_cast<double>(attach_at.remaining_until(quiet_at)) /
        micros_per_second;
    result.answers_ /= seconds;
    result.in_flight_ /= ticks;
    result.used_cpu_ /= ticks;
    result.waits_ = cell.list_waits();
    result.starts_ = count_starts(result.waits_, attach_at, quiet_at) / seconds;
    return result;
}

struct age_group
{
    std::string const name_;
    bool (*const contains_)(step_wait const&);
};

struct width_group
{
    std::string const   name_;
    bool const          gang_ = false;
    std::uint32_t const least_ = 0;
    std::uint32_t const most_ = 0;
};

std::array<age_group, 2> const ages = {
    {{"waiting at the stop",
      [](step_wait const& wait)
      {
          return wait.stopped_;
      }},
     {"accepted after it", [](step_wait const& wait)
      {
          return wait.accepted_at_ > stop_at;
      }}}};

std::array<width_group, 4> const widths = {{{"1 to 4 tasks", false, 1, 4},
                                            {"5 to 14 tasks", false, 5, 14},
                                            {"15 to 30 tasks", false, 15, 30},
                                            {"gangs", true, 1, 30}}};

std::vector<step_wait> list_group(std::vector<step_wait> const& waits,
                                  age_group const&              age,
                                  width_group const&            width)
{
    std::vector<step_wait> group;
    std::copy_if(waits.begin(), waits.end(), std::back_inserter(group),
                 [&](step_wait const& wait)
                 {
                     return age.contains_(wait) && wait.gang_ == width.gang_ &&
                            wait.width_ >= width.least_ &&
                            wait.width_ <= width.most_;
                 });
    return group;
}

// A step that never starts has waited until the end.
template <int Percent>
double find_wait(std::vector<step_wait> const& group)
{
    std::vector<double> seconds;
    seconds.reserve(group.size());
    for (step_wait const& wait : group)
    {
        seconds.push_back(wait.seconds_);
    }
    return find_quantile(std::move(seconds), Percent / 100.0);
}

double count_steps(std::vector<step_wait> const& group)
{
    return static_cast<double>(group.size());
}

double count_unstarted(std::vector<step_wait> const& group)
{
    return static_cast<double>(std::count_if(group.begin(), group.end(),
                                             [](step_wait const& wait)
                                             {
                                                 return !wait.started_;
                                             }));
}

struct group_figure
{
    char const* const name_;
    double (*const find_)(std::vector<step_wait> const&);
};

constexpr std::array<group_figure, 5> group_figures = {
    {{"steps", count_steps},
     {"first start p50, s", find_wait<50>},
     {"first start p99, s", find_wait<99>},
     {"first start max, s", find_wait<100>},
     {"never started", count_unstarted}}};

struct cell_figure
{
    char const* const name_;
    double advice_result::*const value_;
};

constexpr std::array<cell_figure, 4> cell_figures = {
    {{"answers a second", &advice_result::answers_},
     {"steps started a second", &advice_result::starts_},
     {"questions in flight, mean", &advice_result::in_flight_},
     {"processors in use, part", &advice_result::used_cpu_}}};

} // namespace

void measure_advice(std::uint64_t seed, std::vector<figure>& output)
{
    plan::settings by_rank;
    by_rank.advice_turn_micros_ = hour_micros;
    advice_result const with = run_cell(seed, {});
    advice_result const without = run_cell(seed, by_rank);
    auto const          add = [&](std::string const& setting, char const* name,
                         double value, double base)
    {
        output.push_back({"advice", setting, name, value, base, {}});
    };
    for (age_group const& age : ages)
    {
        for (width_group const& width : widths)
        {
            auto const group = list_group(with.waits_, age, width);
            auto const base = list_group(without.waits_, age, width);
            for (group_figure const& each : group_figures)
            {
                add(age.name_ + ", " + width.name_, each.name_,
                    each.find_(group), each.find_(base));
            }
        }
    }
    for (cell_figure const& each : cell_figures)
    {
        add("while newer work arrives", each.name_, with.*each.value_,
            without.*each.value_);
    }
}

} // namespace fescuevane::bench

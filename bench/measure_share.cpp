// Purpose: what backlogged teams get of a full shard over a minute, against
// progressive filling computed apart.
#include "bench/fleet.hpp"
#include "bench/measure.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <variant>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t  tick_micros = 10'000;
constexpr std::uint32_t warm_ticks = 6'000;
constexpr std::uint32_t ticks = 6'000; // a minute
constexpr std::uint32_t backlog = 60;  // queued tasks of a backlogged team

struct share_team
{
    std::int64_t const  share_ = 1;
    resources const     demand_; // of one task
    std::int64_t const  run_micros_ = 0;
    std::uint32_t const most_tasks_ = 0; // running at once, 0: backlogged
};

using team_list = std::vector<share_team>;

double find_dominant(resources const& amount, resources const& total)
{
    return std::max(static_cast<double>(amount.cpu_millis()) /
                        static_cast<double>(total.cpu_millis()),
                    static_cast<double>(amount.memory_mib()) /
                        static_cast<double>(total.memory_mib()));
}

// Weighted progressive filling in small steps: all teams that still want more
// grow by the same amount of dominant share times weight, until a resource is
// used up. Every task needs both resources, so that ends the filling for all.
std::vector<double> fill_progressively(team_list const& teams,
                                       resources const& total)
{
    constexpr double    step = 1e-5;
    std::vector<double> shares(teams.size(), 0.0);
    for (;;)
    {
        double cpu = 0;
        double memory = 0;
        bool   grew = false;
        auto   next = shares;
        for (std::size_t row = 0; row < teams.size(); ++row)
        {
            share_team const& team = teams[row];
            double const      a_task = find_dominant(team.demand_, total);
            double const      most =
                team.most_tasks_ > 0 ? team.most_tasks_ * a_task : 1.0;
            next[row] = std::min(
                most, shares[row] + step * static_cast<double>(team.share_));
            grew = grew || next[row] > shares[row];
            double const tasks = next[row] / a_task;
            cpu += tasks * static_cast<double>(team.demand_.cpu_millis());
            memory += tasks * static_cast<double>(team.demand_.memory_mib());
        }
        if (!grew || cpu > static_cast<double>(total.cpu_millis()) ||
            memory > static_cast<double>(total.memory_mib()))
        {
            return shares;
        }
        shares = next;
    }
}

std::vector<double> run_shares(fleet_size const& size, team_list const& teams,
                               std::uint64_t seed)
{
    fleet                            targets(size, {});
    workload                         jobs(seed, size.teams_);
    std::vector<decide::team_policy> policies;
    for (std::uint32_t row = 0; row < teams.size(); ++row)
    {
        policies.push_back(
            {.team_ = name_team(row), .share_ = teams[row].share_});
    }
    targets.set_policy(policies, true);
    std::map<team_id, std::uint32_t> queued;
    std::map<team_id, std::uint32_t> running;
    std::vector<double>              shares(teams.size(), 0.0);
    resources const                  total = size.capacity_ * size.targets_;
    for (std::uint32_t tick = 0; tick < warm_ticks + ticks; ++tick)
    {
        running.clear();
        for (auto const& [task, value] : targets.running())
        {
            ++running[task.job_.team_];
        }
        for (std::uint32_t row = 0; row < teams.size(); ++row)
        {
            share_team const& team = teams[row];
            team_id const     id = name_team(row);
            while (team.most_tasks_ > 0
                       ? queued[id] + running[id] < team.most_tasks_
                       : queued[id] < backlog)
            {
                std::int64_t const run =
                    team.run_micros_ / 2 +
                    team.run_micros_ * jobs.draw(1000) / 1000;
                targets.submit(
                    jobs.make_job(id, work_kind::batch, 1, team.demand_, run));
                ++queued[id];
            }
        }
        targets.advance(tick_micros);
        targets.tick();
        for (decide::command const& each : targets.commands())
        {
            if (auto const* start = std::get_if<decide::start_task>(&each))
            {
                --queued[start->task_.job_.team_];
            }
        }
        for (std::uint32_t row = 0; tick >= warm_ticks && row < teams.size();
             ++row)
        {
            auto const found = targets.team_used().find(name_team(row));
            if (found != targets.team_used().end())
            {
                shares[row] += find_dominant(found->second, total) / ticks;
            }
        }
    }
    return shares;
}

struct share_setting
{
    fleet_size const size_;
    team_list const  teams_;
};

// Unlike weights, sizes, shapes and run times; the last team wants little.
std::vector<share_setting> list_settings()
{
    constexpr std::int64_t second = micros_per_second;
    return {{{"siphona", 50, {64'000, 131'072, 0}, 60, 6},
             {{1, {1000, 1024, 0}, 2 * second},
              {2, {2000, 2048, 0}, second},
              {4, {4000, 2048, 0}, 3 * second},
              {4, {1000, 6144, 0}, 2 * second},
              {8, {2000, 4096, 0}, 4 * second},
              {3, {1000, 1024, 0}, 2 * second, 64}}},
            {{"ingamba", 50, {16'000, 65'536, 0}, 60, 6},
             {{1, {500, 1024, 0}, 2 * second},
              {2, {500, 2048, 0}, second},
              {4, {1000, 2048, 0}, 3 * second},
              {4, {500, 4096, 0}, 2 * second},
              {8, {1000, 4096, 0}, 4 * second},
              {3, {500, 1024, 0}, 2 * second, 64}}}};
}

} // namespace

void measure_share(std::uint64_t seed, std::vector<figure>& output)
{
    for (share_setting const& setting : list_settings())
    {
        resources const total =
            setting.size_.capacity_ * setting.size_.targets_;
        auto const entitled = fill_progressively(setting.teams_, total);
        auto const got = run_shares(setting.size_, setting.teams_, seed);
        double     points = 0;
        double     percent = 0;
        for (std::size_t row = 0; row < got.size(); ++row)
        {
            share_team const& team = setting.teams_[row];
            output.push_back(
                {"share",
                 setting.size_.name_ + ", team of share " +
                     std::to_string(team.share_) +
                     (team.most_tasks_ > 0 ? ", small demand" : ""),
                 "dominant share, %",
                 100 * got[row],
                 100 * entitled[row],
                 {}});
            if (team.most_tasks_ == 0)
            {
                double const off = std::abs(got[row] - entitled[row]);
                points = std::max(points, 100 * off);
                percent = std::max(percent, 100 * off / entitled[row]);
            }
        }
        output.push_back({"share",
                          setting.size_.name_,
                          "largest deviation, percent points",
                          points,
                          {},
                          {}});
        output.push_back({"share",
                          setting.size_.name_,
                          "largest deviation, %",
                          percent,
                          {},
                          {aim_kind::at_most, 2}});
    }
}

} // namespace fescuevane::bench

// Purpose: work done while a failure domain goes out of service and returns,
// against the capacity that is left.
#include "bench/fleet.hpp"
#include "bench/measure.hpp"

#include <algorithm>
#include <string>
#include <variant>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t  tick_micros = 20'000;
constexpr std::uint32_t domains = 3;
constexpr std::uint32_t moved = 0;        // this domain goes out
constexpr std::uint32_t out_tick = 2'000; // at 40 s
constexpr std::uint32_t back_tick = 3'500;
constexpr std::uint32_t end_tick = 5'000;

// Three shards behind a router that sends the work of a domain that is out,
// and what a shard did not run, to the next domain in service.
class cell
{
public:
    cell(fleet_size const& size, std::uint64_t seed)
        : size_(size), jobs_(seed, size.teams_)
    {
        for (std::uint32_t domain = 0; domain < domains; ++domain)
        {
            shards_.emplace_back(size, decide::settings());
        }
    }

    void set_service(bool in_service)
    {
        in_service_ = in_service;
        std::vector<decide::team_policy> teams;
        for (std::uint32_t team = 0; team < size_.teams_; ++team)
        {
            teams.push_back({.team_ = name_team(team)});
        }
        shards_[moved].set_policy(teams, in_service);
    }

    // Keeps the demand of each domain at `load` times its capacity.
    void step(double load)
    {
        for (std::uint32_t domain = 0; domain < domains; ++domain)
        {
            due_ += load *
                    static_cast<double>(size_.capacity_.cpu_millis() *
                                        size_.targets_) *
                    static_cast<double>(tick_micros);
            while (due_ > 0)
            {
                submit(domain, draw_job());
            }
        }
        for (std::uint32_t domain = 0; domain < domains; ++domain)
        {
            shards_[domain].advance(tick_micros);
            shards_[domain].tick();
            resubmit(domain);
        }
    }

    std::int64_t used_cpu(std::uint32_t domain) const
    {
        return shards_[domain].used().cpu_millis();
    }

    // Work of stopped tasks, which counts as not done, in 1/1000 core us.
    std::int64_t lost(std::uint32_t domain) const
    {
        return shards_[domain].lost_work();
    }

private:
    job_spec draw_job()
    {
        std::int64_t const cores = 500 * (1 + jobs_.draw(8));
        std::int64_t const run =
            micros_per_second + jobs_.draw(4000) * micros_per_milli;
        due_ -= static_cast<double>(cores) * static_cast<double>(run);
        return jobs_.make_job(jobs_.next_team(),
                              jobs_.draw(2) == 0 ? work_kind::batch
                                                 : work_kind::request,
                              1, {cores, cores, 0}, run);
    }

    void submit(std::uint32_t domain, job_spec const& spec)
    {
        if (domain == moved && !in_service_)
        {
            domain = 1 + next_domain_++ % (domains - 1);
        }
        specs_.emplace(spec.key_, spec);
        shards_[domain].submit(spec);
    }

    // Only work of the domain that is out moves; a refusal for a full queue
    // is final.
    void resubmit(std::uint32_t domain)
    {
        for (decide::command const& each : shards_[domain].commands())
        {
            auto const* change = std::get_if<decide::job_changed>(&each);
            if (change == nullptr || !is_final(change->result_.state_))
            {
                continue;
            }
            auto const     found = specs_.find(change->result_.key_);
            job_spec const spec = found->second;
            specs_.erase(found);
            if (domain == moved && !in_service_ &&
                change->result_.state_ == job_state::not_run)
            {
                submit(domain, spec);
            }
        }
    }

    fleet_size const            size_;
    workload                    jobs_;
    std::vector<fleet>          shards_;
    std::map<job_key, job_spec> specs_;
    std::uint32_t               next_domain_ = 0;
    bool                        in_service_ = true;
    double                      due_ = 0;
};

struct move_result
{
    double staying_ = 0; // part of the capacity of the shards that stay
    double whole_ = 0;   // part of all capacity in service
    double lost_ = 0;    // part of the same, of work stopped before its end
};

move_result run_move(fleet_size const& size, bool moves, double load,
                     std::uint64_t seed)
{
    cell         shards(size, seed);
    double const a_shard =
        static_cast<double>(size.capacity_.cpu_millis() * size.targets_);
    double staying = 0;
    double all = 0;
    double capacity = 0;
    for (std::uint32_t tick = 0; tick < end_tick; ++tick)
    {
        if (moves && (tick == out_tick || tick == back_tick))
        {
            shards.set_service(tick == back_tick);
        }
        shards.step(load);
        if (tick < out_tick)
        {
            continue;
        }
        bool const out = moves && tick < back_tick;
        capacity += out ? a_shard * (domains - 1) : a_shard * domains;
        for (std::uint32_t domain = 0; domain < domains; ++domain)
        {
            auto const used = static_cast<double>(shards.used_cpu(domain));
            staying += domain != moved ? used : 0;
            all += used;
        }
    }
    double lost = 0;
    for (std::uint32_t domain = 0; domain < domains; ++domain)
    {
        lost += static_cast<double>(shards.lost(domain)) / tick_micros;
    }
    return {staying / (a_shard * (domains - 1) * (end_tick - out_tick)),
            (all - lost) / capacity, lost / capacity};
}

} // namespace

void measure_move(std::uint64_t seed, std::vector<figure>& output)
{
    std::vector<fleet_size> const sizes = {
        {"siphona", 50, {64'000, 131'072, 0}, 60, 6},
        {"ingamba", 50, {16'000, 65'536, 0}, 60, 6}};
    for (fleet_size const& size : sizes)
    {
        constexpr double load = 1.1; // saturated, so that capacity binds
        auto const       with = run_move(size, true, load, seed);
        auto const       without = run_move(size, false, load, seed);
        auto const       add =
            [&](char const* name, double value, double base, aim const& wanted)
        {
            output.push_back({"move", size.name_ + ", demand 1.1", name,
                              100 * value, 100 * base, wanted});
        };
        add("work in shards that stay, % of their capacity", with.staying_,
            without.staying_, {aim_kind::at_least, 97});
        add("work in all shards, % of capacity in service", with.whole_,
            without.whole_, {aim_kind::at_least, 97});
        add("work lost by stops, % of capacity in service", with.lost_,
            without.lost_, {});
    }
}

} // namespace fescuevane::bench

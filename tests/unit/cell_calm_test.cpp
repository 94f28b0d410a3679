// Purpose: random faults of hosts, targets and failure domains; what a shard
// can run afterwards starts and ends.
#include "cell_cluster_fixture.hpp"

#include "cell/node.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

constexpr std::int64_t run_ms = 2000;

struct known_step
{
    std::uint32_t       count_ = 0;
    bool                gang_ = false;
    bool                long_running_ = false;
    std::set<target_id> allowed_;
    std::string         host_;
    std::uint64_t       call_ = 0;
};

// Six shards of four targets in three failure domains, served by six hosts.
struct disturbance_fixture : cell_cluster_fixture
{
    std::map<std::string, known_step> steps_; // by job

    disturbance_fixture()
    {
        tick_micros_ = 50'000;
        executes_stops_ = true;
        defaults_.domains_ = {domain_id("east"), domain_id("north"),
                              domain_id("west")};
        defaults_.targets_per_shard_ = 4;
        set_advice({400, 6, 2000});
        for (std::string const domain : {"east", "north", "west"})
        {
            add_host(domain + "-1", 1, domain);
            add_host(domain + "-2", 1, domain);
            for (int index = 0; index < 8; ++index)
            {
                std::string const rack = domain + std::to_string(index / 4);
                list_target("t-" + rack + std::to_string(index), rack, domain);
            }
        }
        run(8 * micros_per_second);
    }

    std::string find_live_host()
    {
        for (auto const& [name, address] : addresses_)
        {
            if (members_.at(address).node_)
            {
                return name;
            }
        }
        return {};
    }

    void run_work(std::int64_t micros)
    {
        constexpr std::int64_t step = 200'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            // Also on unreachable targets: leases aren't modelled
            end_runs(run_ms);
        }
    }

    // Steps of a history; `number` selects their subject.
    void submit_step(std::uint32_t number)
    {
        std::string const id = "aa" + std::to_string(100 + steps_.size());
        known_step        step;
        step.count_ = 1 + number % 13;
        step.gang_ = number % 3 == 0;
        bool const    open = number % 5 == 0;
        std::uint32_t bits = number * 2654435761U + 97;
        for (listed_target const& target : targets_)
        {
            bits = bits * 1664525U + 1013904223U;
            if (open || (bits >> 24U) % 100 < 30)
            {
                step.allowed_.insert(target.id_);
            }
        }
        step.host_ = find_live_host();
        if (step.host_.empty())
        {
            return;
        }
        allowed_[job_id(id)] = step.allowed_;
        step.long_running_ = !step.gang_ && number % 7 == 0;
        if (step.long_running_)
        {
            step.count_ = 1 + number % 3;
            lasting_.insert(job_id(id));
        }
        step.call_ =
            submit(step.host_, id,
                   {{.count_ = step.count_,
                     .demand_ = step.long_running_ ? resources(100, 512, 0)
                                                   : resources(900, 512, 0),
                     .estimate_ms_ = run_ms,
                     .gang_ = step.gang_,
                     .perpetual_ = step.long_running_}});
        steps_[id] = step;
    }

    std::string name_host(std::uint32_t number) const
    {
        auto at = addresses_.begin();
        std::advance(at, number % addresses_.size());
        return at->first;
    }

    void kill_host(std::uint32_t number) { kill(name_host(number)); }

    void restart_host(std::uint32_t number)
    {
        kill(name_host(number));
        start(name_host(number));
    }

    void toggle_domain(std::uint32_t number)
    {
        domain_id const domain = defaults_.domains_.at(number % 3);
        bool const      out = !out_.contains(domain);
        out ? out_.insert(domain).second : out_.erase(domain) > 0;
        post_all(domain_withdrawn{domain, out});
    }

    listed_target const& find_target(std::uint32_t number) const
    {
        return targets_.at(number % targets_.size());
    }

    void cut_target(std::uint32_t number)
    {
        unreachable_.insert(find_target(number).id_);
    }

    void unlist_target(std::uint32_t number)
    {
        cut_target(number);
        post_all(target_unlisted{find_target(number).id_});
    }

    void return_target(listed_target const& target)
    {
        unreachable_.erase(target.id_);
        post_all(target_listed{target});
    }

    void return_target(std::uint32_t number)
    {
        return_target(find_target(number));
    }

    // The target restarts without any runs.
    void crash_target(std::uint32_t number)
    {
        target_id const& id = find_target(number).id_;
        ++earlier_incarnations_[id];
        running_[id].clear();
        ended_[id].clear();
        ends_[id] = 0;
    }

    void end_disturbances()
    {
        for (domain_id const& domain : std::exchange(out_, {}))
        {
            post_all(domain_withdrawn{domain, false});
        }
        for (listed_target const& target : targets_)
        {
            return_target(target);
        }
        for (auto const& [name, address] : addresses_)
        {
            if (!members_.at(address).node_)
            {
                start(name);
            }
        }
    }

    // True if one shard has room for a whole gang, or for a task.
    bool is_runnable(known_step const& step)
    {
        constexpr std::uint32_t           target_tasks = 4;
        std::map<shard_id, std::uint32_t> room;
        for (listed_target const& target : targets_)
        {
            auto const shard = shard_of(*find("east-1").node_, target);
            if (shard && step.allowed_.contains(target.id_))
            {
                room[*shard] += target_tasks;
            }
        }
        std::uint32_t const needed = step.gang_ ? step.count_ : 1;
        return std::any_of(room.begin(), room.end(),
                           [needed](auto const& entry)
                           {
                               return entry.second >= needed;
                           });
    }

    bool is_completed(std::string const& id)
    {
        auto const row = rows_.find({"job", "0", id});
        return row != rows_.end() &&
               read_job(row->second.value_).progress_.phase_ ==
                   job_phase::completed;
    }

    bool was_accepted(known_step const& step)
    {
        auto const answer = find_answer(step.host_, step.call_);
        return answer && answer->outcome_ == job_outcome::accepted;
    }

    std::size_t count_running(std::string const& job) const
    {
        std::set<std::uint32_t> running;
        for (auto const& [target, runs] : running_)
        {
            for (reported_run const& run : runs)
            {
                if (run.run_.stage_.job_ == job_id(job))
                {
                    running.insert(run.run_.index_);
                }
            }
        }
        return running.size();
    }

    std::vector<std::string> list_waiting()
    {
        std::vector<std::string> waiting;
        for (auto const& [id, step] : steps_)
        {
            bool const over = step.long_running_
                                  ? count_running(id) == step.count_
                                  : is_completed(id);
            if (was_accepted(step) && is_runnable(step) && !over)
            {
                waiting.push_back(id);
            }
        }
        return waiting;
    }
};

using disturbance = void (disturbance_fixture::*)(std::uint32_t);

struct named_disturbance
{
    char const* name_;
    disturbance run_;
};

constexpr std::array<named_disturbance, 10> disturbances = {{
    {"submit", &disturbance_fixture::submit_step},
    {"submit", &disturbance_fixture::submit_step},
    {"submit", &disturbance_fixture::submit_step},
    {"kill", &disturbance_fixture::kill_host},
    {"restart", &disturbance_fixture::restart_host},
    {"turn", &disturbance_fixture::toggle_domain},
    {"cut", &disturbance_fixture::cut_target},
    {"unlist", &disturbance_fixture::unlist_target},
    {"return", &disturbance_fixture::return_target},
    {"crash", &disturbance_fixture::crash_target},
}};

struct history_step
{
    std::size_t   what_ = 0;
    std::uint32_t number_ = 0;
    int           pause_ = 0; // tenths of a second
};

std::ostream& operator<<(std::ostream& out, history_step const& step)
{
    return out << disturbances.at(step.what_).name_ << ' ' << step.number_
               << " then " << step.pause_;
}

rc::Gen<history_step> arbitrary_history_step()
{
    return rc::gen::build<history_step>(
        rc::gen::set(&history_step::what_,
                     rc::gen::inRange<std::size_t>(0, disturbances.size())),
        rc::gen::set(&history_step::number_,
                     rc::gen::inRange<std::uint32_t>(0, 1000)),
        rc::gen::set(&history_step::pause_, rc::gen::inRange(0, 30)));
}

// Guards against steps that never start though a shard could run them.
TEST_CASE("random disturbances, calm follows, runnable steps complete")
{
    CHECK(rc::check(
        []
        {
            auto const history = *rc::gen::container<std::vector<history_step>>(
                20, arbitrary_history_step());
            disturbance_fixture cluster;
            for (history_step const& step : history)
            {
                (cluster.*disturbances.at(step.what_).run_)(step.number_);
                cluster.run_work(step.pause_ * 100'000);
            }
            cluster.end_disturbances();
            cluster.run_work(3 * micros_per_second); // answers to submissions
            constexpr int rounds = 8;
            for (int round = 0;
                 round < rounds && !cluster.list_waiting().empty(); ++round)
            {
                cluster.run_work(10 * micros_per_second);
            }
            RC_ASSERT(cluster.list_waiting() == std::vector<std::string>());
        }));
}

} // namespace
} // namespace fescuevane::cell

// Purpose: checkers of the runs of tasks.
//
// Index of sections
//   1. Running tasks
//   2. Capacity
//   3. Repeated runs
//   4. Limits of teams
//   5. Failure domains and targets that leave
#include "tests/prove/checkers.hpp"
#include "tests/prove/history.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace fescuevane::prove
{
namespace
{

// 1. Running tasks

using run_key = std::tuple<std::string, std::string, std::string, std::int64_t,
                           std::int64_t>; // target, team, job, index, attempt
using task_id = std::tuple<std::string, std::string, std::int64_t>;

run_key make_run_key(run_event const& run)
{
    return {run.target_, run.team_, run.job_, run.index_, run.attempt_};
}

task_id make_task_id(run_event const& run)
{
    return {run.team_, run.job_, run.index_};
}

bool exceeds(resources const& used, resources const& bound)
{
    return used.cpu_millis() > bound.cpu_millis() ||
           used.memory_mib() > bound.memory_mib() ||
           used.accelerators() > bound.accelerators();
}

resources add(resources const& left, resources const& right, std::int64_t sign)
{
    return {left.cpu_millis() + sign * right.cpu_millis(),
            left.memory_mib() + sign * right.memory_mib(),
            left.accelerators() + sign * right.accelerators()};
}

struct usage
{
    resources    used_;
    std::int64_t tasks_ = 0;

    void change(resources const& amount, std::int64_t sign)
    {
        used_ = add(used_, amount, sign);
        tasks_ += sign;
    }
};

} // namespace

// 2. Capacity

// The stand-in rejects a start above its capacity, which a real host may not
// do; such a start is a breach of the scheduler.
std::vector<violation> check_no_overcommit(history const& past)
{
    std::vector<violation>       found;
    std::map<std::string, usage> used;
    std::map<run_key, resources> running;
    for (run_event const& run : past.runs_)
    {
        if (run.event_ == "reject" && run.reason_ == "overcommit")
        {
            found.push_back(
                {"a start above the capacity was sent", {run.line_}});
        }
        if (run.event_ == "end")
        {
            auto const entry = running.find(make_run_key(run));
            if (entry != running.end())
            {
                used[run.target_].change(entry->second, -1);
                running.erase(entry);
            }
        }
        if (run.event_ != "start" ||
            !running.emplace(make_run_key(run), run.reserved_).second)
        {
            continue;
        }
        usage& now = used[run.target_];
        now.change(run.reserved_, 1);
        auto const target = past.targets_.find(run.target_);
        if (target == past.targets_.end() ||
            exceeds(now.used_, target->second.capacity_) ||
            now.tasks_ > target->second.slots_)
        {
            found.push_back(
                {"a target holds more than its capacity", {run.line_}});
        }
    }
    return found;
}

// 3. Repeated runs

std::vector<violation> check_single_run(history const& past)
{
    std::vector<violation>                            found;
    std::map<task_id, std::map<run_key, std::string>> running;
    for (run_event const& run : past.runs_)
    {
        if (run.event_ == "start")
        {
            auto& copies = running[make_task_id(run)];
            if (!copies.empty())
            {
                found.push_back({"a task runs twice at the same time",
                                 {copies.begin()->second, run.line_}});
            }
            copies.emplace(make_run_key(run), run.line_);
        }
        else if (run.event_ == "end")
        {
            running[make_task_id(run)].erase(make_run_key(run));
        }
    }
    return found;
}

std::vector<violation> check_at_most_once(history const& past)
{
    std::vector<violation>         found;
    std::map<task_id, std::string> first;
    for (run_event const& run : past.runs_)
    {
        if (run.event_ != "start" || run.idempotent_)
        {
            continue;
        }
        auto const [entry, fresh] = first.emplace(make_task_id(run), run.line_);
        if (!fresh)
        {
            found.push_back({"a non-idempotent task started again",
                             {entry->second, run.line_}});
        }
    }
    return found;
}

// 4. Limits of teams

namespace
{

// A limit may apply from the filing of its ticket until a later ticket of the
// team was accepted. The largest of these is the bound; none: no ticket yet.
std::optional<resources> find_limit(history const&     past,
                                    std::string const& team, std::int64_t time)
{
    std::optional<resources> bound;
    for (ticket_event const& ticket : past.tickets_)
    {
        auto const limit = ticket.limits_.find(team);
        if (limit == ticket.limits_.end() || ticket.began_ > time)
        {
            continue;
        }
        bool const replaced =
            std::any_of(past.tickets_.begin(), past.tickets_.end(),
                        [&](ticket_event const& later)
                        {
                            return later.number_ > ticket.number_ &&
                                   later.limits_.contains(team) &&
                                   later.accepted_ >= 0 &&
                                   later.accepted_ <= time;
                        });
        if (!replaced)
        {
            resources const old = bound.value_or(limit->second);
            bound = resources(
                std::max(old.cpu_millis(), limit->second.cpu_millis()),
                std::max(old.memory_mib(), limit->second.memory_mib()),
                std::max(old.accelerators(), limit->second.accelerators()));
        }
    }
    return bound;
}

// Times at which the bound may change or the use grow.
std::vector<std::int64_t> list_acceptances(history const& past)
{
    std::vector<std::int64_t> times;
    for (ticket_event const& ticket : past.tickets_)
    {
        if (ticket.accepted_ >= 0 && !ticket.limits_.empty())
        {
            times.push_back(ticket.accepted_);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

void check_limits(history const& past, std::map<std::string, usage> const& used,
                  std::int64_t time, std::string const& line,
                  std::vector<violation>& found)
{
    for (auto const& [team, now] : used)
    {
        auto const limit = find_limit(past, team, time);
        if (limit && exceeds(now.used_, *limit))
        {
            found.push_back({"team " + team + " runs " +
                                 std::to_string(now.used_.cpu_millis()) +
                                 " cpu_millis, " +
                                 std::to_string(now.used_.memory_mib()) +
                                 " MiB above its limit of " +
                                 std::to_string(limit->cpu_millis()) + ", " +
                                 std::to_string(limit->memory_mib()) + " at " +
                                 std::to_string(time),
                             {line}});
        }
    }
}

} // namespace

std::vector<violation> check_team_limit(history const& past)
{
    std::vector<violation>          found;
    std::map<std::string, usage>    used;
    std::map<run_key, resources>    running;
    std::vector<std::int64_t> const times = list_acceptances(past);
    auto                            next = times.begin();
    for (run_event const& run : past.runs_)
    {
        for (; next != times.end() && *next < run.time_; ++next)
        {
            check_limits(past, used, *next, "at the acceptance of a ticket",
                         found);
        }
        if (run.event_ == "start" &&
            running.emplace(make_run_key(run), run.reserved_).second)
        {
            used[run.team_].change(run.reserved_, 1);
            check_limits(past, {{run.team_, used[run.team_]}}, run.time_,
                         run.line_, found);
        }
        auto const entry = running.find(make_run_key(run));
        if (run.event_ == "end" && entry != running.end())
        {
            used[run.team_].change(entry->second, -1);
            running.erase(entry);
        }
    }
    return found;
}

// 5. Failure domains and targets that leave

namespace
{

bool returns_domain(ticket_event const& out, ticket_event const& later,
                    std::string const& domain, std::int64_t time)
{
    auto const state = later.domains_.find(domain);
    return later.number_ > out.number_ && state != later.domains_.end() &&
           state->second && later.began_ <= time;
}

} // namespace

std::vector<violation> check_domain_out(history const& past)
{
    std::vector<violation> found;
    for (ticket_event const& out : past.tickets_)
    {
        for (auto const& entry : out.domains_)
        {
            std::string const& domain = entry.first;
            if (entry.second || out.accepted_ < 0)
            {
                continue;
            }
            for (run_event const& run : past.runs_)
            {
                bool const late =
                    run.event_ == "start" && run.domain_ == domain &&
                    run.time_ > out.accepted_ + effect_bound_micros;
                bool const returned =
                    late &&
                    std::any_of(past.tickets_.begin(), past.tickets_.end(),
                                [&](ticket_event const& later)
                                {
                                    return returns_domain(out, later, domain,
                                                          run.time_);
                                });
                if (late && !returned)
                {
                    found.push_back({"a start in " + domain +
                                         ", which ticket " +
                                         std::to_string(out.number_) +
                                         " took out, accepted at " +
                                         std::to_string(out.accepted_),
                                     {run.line_}});
                }
            }
        }
    }
    return found;
}

std::vector<violation> check_target_drain(history const& past)
{
    std::vector<violation>                  found;
    std::map<std::string, run_event const*> leaving;
    for (run_event const& run : past.runs_)
    {
        if (run.event_ == "leaving")
        {
            leaving.emplace(run.target_, &run);
        }
        else if (run.event_ == "staying")
        {
            leaving.erase(run.target_);
        }
        auto const mark = leaving.find(run.target_);
        if (run.event_ == "start" && mark != leaving.end() &&
            run.time_ > mark->second->time_ + effect_bound_micros)
        {
            found.push_back({"a start on a leaving target",
                             {mark->second->line_, run.line_}});
        }
    }
    return found;
}

} // namespace fescuevane::prove

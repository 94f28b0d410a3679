// Purpose: targets that run tasks under leases, as a table and systems over it.
//
// Index of sections
//   1. Lives
//   2. Ends
//   3. Systems
//   4. Orders
//   5. Reports
#include "tests/soak/target_world.hpp"

#include "tests/soak/job_codec.hpp"
#include "tests/soak/job_plan.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <memory>
#include <string>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

// Bounds of the sites.
constexpr std::int64_t max_lease_ms = 10'000;
constexpr std::int64_t gang_wait_micros = 3'000'000;

constexpr std::int64_t fail_micros = 50'000; // of a target that fails all
constexpr std::size_t  max_listed = 500;

constexpr std::int64_t permille = 1000;

} // namespace

// 1. Lives

std::int64_t read_target_clock(target_row const& target, instant now)
{
    return target.born_at_.remaining_until(now) * target.clock_permille_ /
           permille / micros_per_milli;
}

target_world make_world(std::vector<target_spec> specs, std::uint64_t seed,
                        instant now, std::int64_t unix_ms,
                        target_traits const& traits)
{
    target_world world{.traits_ = traits,
                       .specs_ = std::move(specs),
                       .random_ = std::mt19937_64(seed)};
    for (target_spec const& spec : world.specs_)
    {
        world.targets_.push_back({.id_ = spec.name_ + "-1",
                                  .life_ = 1,
                                  .born_at_ = now,
                                  .born_unix_ms_ = unix_ms,
                                  .clock_permille_ = spec.clock_permille_});
    }
    return world;
}

// 2. Ends

namespace
{

void record(target_world& world, std::size_t target, run_event_kind kind,
            instant now, std::string const& task = "", std::int64_t run = 0,
            std::string const& reason = "")
{
    world.events_.push_back(
        {.time_ = now.micros(),
         .kind_ = kind,
         .target_ = world.targets_[target].id_ + "/" +
                    std::to_string(world.targets_[target].life_),
         .domain_ = world.specs_[target].domain_,
         .task_ = task.empty() ? task_name{} : parse_task_name(task),
         .run_ = run,
         .fence_ = world.targets_[target].fence_,
         .reason_ = reason});
}

void end_run(target_world& world, std::size_t target, std::string const& task,
             std::string const& reason, instant now);

// A gang ends as a whole: done together, or broken by the first other end.
void end_gang(target_world& world, std::string const& stage, std::int64_t run,
              std::string const& reason, instant now)
{
    for (std::size_t other = 0; other < world.targets_.size(); ++other)
    {
        std::vector<std::string> members;
        for (auto const& [task, row] : world.targets_[other].running_)
        {
            if (row.stage_ == stage && row.run_ == run)
            {
                members.push_back(task);
            }
        }
        for (std::string const& task : members)
        {
            end_run(world, other, task, reason, now);
        }
    }
}

void end_run(target_world& world, std::size_t target, std::string const& task,
             std::string const& reason, instant now)
{
    target_row& row = world.targets_[target];
    auto const  found = row.running_.find(task);
    if (found == row.running_.end())
    {
        return;
    }
    running_row const run = found->second;
    row.running_.erase(found);
    std::int64_t& turned_down = row.turned_down_[task];
    turned_down = std::max(turned_down, run.run_);
    row.ended_.push_back({++row.last_end_, task, run.run_, reason});
    record(world, target, run_event_kind::end, now, task, run.run_, reason);
    if (run.step_.gang_)
    {
        end_gang(world, run.stage_, run.run_,
                 reason == "done" ? "done" : "broken", now);
    }
}

// Ends the runs of a target that `reason_of` names a reason for.
template <typename Reason>
void end_runs(target_world& world, std::size_t target, instant now,
              Reason const& reason_of)
{
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto const& [task, row] : world.targets_[target].running_)
    {
        if (std::string reason = reason_of(row); !reason.empty())
        {
            ends.emplace_back(task, std::move(reason));
        }
    }
    for (auto const& [task, reason] : ends)
    {
        end_run(world, target, task, reason, now);
    }
}

// The moment on the process's clock at which the lease is past.
instant find_lapse(target_row const& target)
{
    return target.born_at_.after((target.lease_ms_ + 1) * micros_per_milli *
                                 permille / target.clock_permille_);
}

} // namespace

// 3. Systems

void run_tick(target_world& world, instant now)
{
    for (std::size_t target = 0; target < world.targets_.size(); ++target)
    {
        target_row& row = world.targets_[target];
        if (!row.lapsed_ && find_lapse(row) <= now)
        {
            row.lapsed_ = true;
            record(world, target, run_event_kind::lapse, now);
            end_runs(world, target, now,
                     [](running_row const&) -> std::string
                     {
                         return "lapsed";
                     });
        }
        end_runs(world, target, now,
                 [now](running_row const& run) -> std::string
                 {
                     if (run.stopped_at_ <= now)
                     {
                         return "stopped";
                     }
                     if (run.done_at_ <= now)
                     {
                         return run.step_.fails_ ? "failed" : "done";
                     }
                     return run.alone_at_ <= now ? "alone" : "";
                 });
    }
}

instant next_deadline(target_world const& world)
{
    instant next = instant::never();
    for (target_row const& target : world.targets_)
    {
        if (!target.lapsed_)
        {
            next = std::min(next, find_lapse(target));
        }
        for (auto const& [task, run] : target.running_)
        {
            next =
                std::min({next, run.done_at_, run.stopped_at_, run.alone_at_});
        }
    }
    return next;
}

// 4. Orders

namespace
{

json write_clock(target_row const& target, instant now)
{
    return {{"clockMs", read_target_clock(target, now)},
            {"born", target.born_unix_ms_}};
}

reply turn_down(target_row const& target, instant now, char const* reason)
{
    json body = write_clock(target, now);
    body["reason"] = reason;
    return {409, std::move(body)};
}

// False: a later owner's order came before.
bool take_fence(target_row& target, json const& order)
{
    auto const fence = order.value("fence", std::int64_t{0});
    if (fence < target.fence_)
    {
        return false;
    }
    target.fence_ = fence;
    return true;
}

void extend_lease(target_row& target, json const& order, instant now)
{
    std::int64_t const clock = read_target_clock(target, now);
    std::int64_t const wanted = std::min(
        order.value("deadlineMs", std::int64_t{0}), clock + max_lease_ms);
    if (wanted > clock)
    {
        target.lease_ms_ = std::max(target.lease_ms_, wanted);
        target.lapsed_ = false;
    }
}

// The gang's work begins when all of its members are present.
void begin_gang(target_world& world, running_row const& member, instant now)
{
    std::vector<running_row*> members;
    for (target_row& target : world.targets_)
    {
        for (auto& [task, row] : target.running_)
        {
            if (row.stage_ == member.stage_ && row.run_ == member.run_)
            {
                members.push_back(&row);
            }
        }
    }
    if (members.size() < static_cast<std::size_t>(member.step_.count_))
    {
        return;
    }
    for (running_row* const row : members)
    {
        row->alone_at_ = instant::never();
        row->done_at_ = now.after(row->step_.work_ms_ * micros_per_milli);
    }
}

} // namespace

reply start_run(target_world& world, std::size_t target, json const& order,
                instant now)
{
    run_tick(world, now);
    target_row& row = world.targets_[target];
    if (!take_fence(row, order))
    {
        return turn_down(row, now, "fence");
    }
    std::string const task = order.at("task").get<std::string>();
    auto const        run = order.at("run").get<std::int64_t>();
    task_name const   name = parse_task_name(task);
    job_plan const    plan =
        decode_payload(order.at("taskSpec").get<std::string>());
    step_plan const& step =
        plan.steps_.at(static_cast<std::size_t>(name.step_));
    if (order.at("deadlineMs").get<std::int64_t>() <=
        read_target_clock(row, now))
    {
        return turn_down(row, now, "late");
    }
    extend_lease(row, order, now);
    auto const there = row.running_.find(task);
    if (there != row.running_.end() && there->second.run_ == run)
    {
        return {200, write_clock(row, now)};
    }
    auto const ended = row.turned_down_.find(task);
    if ((ended != row.turned_down_.end() && run <= ended->second) ||
        (there != row.running_.end() && run < there->second.run_))
    {
        return turn_down(row, now, "old");
    }
    world.events_.push_back(
        {.time_ = now.micros(),
         .kind_ = run_event_kind::start,
         .target_ = row.id_ + "/" + std::to_string(row.life_),
         .domain_ = world.specs_[target].domain_,
         .task_ = name,
         .run_ = run,
         .fence_ = row.fence_,
         .host_ = order.value("caller", ""),
         .organisation_ = plan.organisation_,
         .payload_job_ = plan.id_,
         .demand_ = step.demand_});
    // An earlier run that is still there shows in the history as an overlap.
    end_run(world, target, task, "stopped", now);
    bool const  fails = step.fails_ || now < row.fails_until_;
    running_row started{.stage_ = task.substr(0, task.rfind('.')),
                        .run_ = run,
                        .step_ = {.count_ = step.count_,
                                  .demand_ = step.demand_,
                                  .work_ms_ = step.work_ms_,
                                  .gang_ = step.gang_,
                                  .perpetual_ = step.perpetual_,
                                  .fails_ = fails}};
    if (now < row.fails_until_)
    {
        started.done_at_ = now.after(fail_micros);
    }
    else if (step.gang_)
    {
        started.alone_at_ = now.after(gang_wait_micros);
    }
    else if (now < row.stuck_until_)
    {
        started.stuck_ = true;
    }
    else if (!step.perpetual_)
    {
        started.done_at_ = now.after(step.work_ms_ * micros_per_milli);
    }
    row.running_.emplace(task, started);
    if (step.gang_)
    {
        begin_gang(world, started, now);
    }
    return {200, write_clock(row, now)};
}

reply stop_run(target_world& world, std::size_t target, json const& order,
               instant now)
{
    run_tick(world, now);
    target_row& row = world.targets_[target];
    if (!take_fence(row, order))
    {
        return turn_down(row, now, "fence");
    }
    std::string const task = order.at("task").get<std::string>();
    auto const        run = order.at("run").get<std::int64_t>();
    std::int64_t&     turned_down = row.turned_down_[task];
    turned_down = std::max(turned_down, run);
    auto const there = row.running_.find(task);
    if (there != row.running_.end() && there->second.run_ <= run &&
        there->second.stopped_at_ == instant::never())
    {
        there->second.stopped_at_ =
            now.after(std::uniform_int_distribution<std::int64_t>(
                0, world.traits_.max_stop_micros_)(world.random_));
    }
    return {200, write_clock(row, now)};
}

reply pace_run(target_world& world, std::size_t target, json const& order,
               instant now)
{
    target_row& row = world.targets_[target];
    return take_fence(row, order) ? reply{200, write_clock(row, now)}
                                  : turn_down(row, now, "fence");
}

// 5. Reports

namespace
{

// Lasting runs are at work all the time; others reach 100 at their end.
std::int64_t find_percent(running_row const& run, instant now)
{
    constexpr std::int64_t all = 100;
    if (run.alone_at_ != instant::never() || run.stuck_)
    {
        return 0;
    }
    std::int64_t const work_micros = run.step_.work_ms_ * micros_per_milli;
    if (run.done_at_ == instant::never() || work_micros <= 0)
    {
        return all;
    }
    std::int64_t const left = now.remaining_until(run.done_at_);
    return std::clamp<std::int64_t>(all - all * left / work_micros, 0, all - 1);
}

} // namespace

std::optional<reply> take_hold(target_world& world, std::size_t target,
                               json const& order, instant now, bool wait)
{
    run_tick(world, now);
    target_row& row = world.targets_[target];
    if (!take_fence(row, order))
    {
        return turn_down(row, now, "fence");
    }
    extend_lease(row, order, now);
    auto const seen = order.value("lastSeen", std::int64_t{0});
    while (!row.ended_.empty() && row.ended_.front().number_ <= seen)
    {
        ended_row const& end = row.ended_.front();
        record(world, target, run_event_kind::noted, now, end.task_, end.run_,
               end.reason_);
        row.ended_.pop_front();
    }
    if (wait && row.ended_.empty())
    {
        return std::nullopt;
    }
    json body = write_clock(row, now);
    json running = json::array();
    for (auto const& [task, run] : row.running_)
    {
        if (run.stopped_at_ != instant::never() &&
            !world.traits_.lists_stopping_)
        {
            continue;
        }
        running.push_back({task, run.run_, "", find_percent(run, now),
                           run.step_.demand_.cpu_millis()});
    }
    json terminated = json::array();
    for (ended_row const& end : row.ended_)
    {
        if (terminated.size() == max_listed)
        {
            break;
        }
        terminated.push_back(
            {end.number_, end.task_, end.run_, end.reason_, ""});
    }
    body["running"] = std::move(running);
    body["terminated"] = std::move(terminated);
    return reply{200, std::move(body)};
}

void stick_runs(target_world& world, std::size_t target, instant until)
{
    world.targets_[target].stuck_until_ = until;
    for (auto& [task, run] : world.targets_[target].running_)
    {
        if (!run.step_.gang_)
        {
            run.stuck_ = true;
            run.done_at_ = instant::never();
        }
    }
}

void begin_new_life(target_world& world, std::size_t target, bool keep_id,
                    instant now, std::int64_t unix_ms, instant up_at)
{
    run_tick(world, now);
    end_runs(world, target, now,
             [](running_row const&) -> std::string
             {
                 return "crashed";
             });
    target_row const&  before = world.targets_[target];
    std::int64_t const life = before.life_ + 1;
    target_row         next{.id_ = keep_id ? before.id_
                                           : world.specs_[target].name_ + "-" +
                                         std::to_string(life),
                            .life_ = life,
                            .born_at_ = up_at,
                            .born_unix_ms_ =
                        unix_ms + now.remaining_until(up_at) / micros_per_milli,
                            .clock_permille_ = world.specs_[target].clock_permille_,
                            .up_at_ = up_at,
                            .unheard_until_ = before.unheard_until_};
    world.targets_[target] = std::move(next);
}

json write_entry(target_spec const& spec, target_row const& target, instant now)
{
    bool const drains = now < target.drains_until_;
    json       entry{{"service", "desk"},
               {"addr", spec.address_},
               {"zone", spec.domain_},
               {"version", "1"},
               {"slots", 8},
               {"state", drains ? "draining" : "ready"},
               {"coldRemainingMs", 0},
               {"seq", 1},
               {"machine", spec.name_},
               {"born", target.born_unix_ms_},
               {"labels", {"standard", spec.rack_}},
               {"capacity",
                      {{"cpu", spec.capacity_.cpu_millis()},
                       {"memMb", spec.capacity_.memory_mib()},
                       {"gpu", 0}}}};
    if (drains)
    {
        entry["remainingMs"] =
            now.remaining_until(target.drains_until_) / micros_per_milli;
    }
    return entry;
}

} // namespace fescuevane::soak

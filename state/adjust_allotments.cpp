// Purpose: the system that moves parts of the teams' upper limits between
// shards.
//
// A part grows only by a commit that was applied. It shrinks in three steps:
// the scheduler is told the smaller value (the goal), a load noted afterwards
// shows that the usage is within it, then the row is written. So the sum of
// what the schedulers may use never exceeds the sum of the parts.
//
// Index of sections
//   1. Loads
//   2. Amounts
//   3. Goals of reductions
//   4. Parts
//   5. Telling the schedulers
//   6. System
#include "state/control.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{

// 1. Loads

namespace
{

// Marks the team only when its parts may have to change: a load with the same
// values matters only to a goal, which it may show to be reached.
void replace_load(control& context, std::size_t row, resources const& used,
                  resources const& waiting, std::uint64_t number)
{
    load_table& loads = context.loads_;
    bool const  noted = loads.load_number_[row] != 0;
    if (!noted || loads.goal_[row] || loads.used_[row] != used ||
        loads.waiting_[row] != waiting)
    {
        context.changed_teams_.insert(loads.index_.key(row).team_);
    }
    loads.used_[row] = used;
    loads.waiting_[row] = waiting;
    loads.load_number_[row] = number;
}

// Teams that the present load doesn't name use nothing.
void clear_stale_loads(control& context, shard_id const& shard,
                       std::uint64_t present)
{
    load_table const& loads = context.loads_;
    for (std::size_t row = 0; row < loads.index_.size(); ++row)
    {
        if (loads.load_number_[row] != present &&
            loads.index_.key(row).shard_ == shard)
        {
            replace_load(context, row, {}, {}, present);
        }
    }
}

} // namespace

void note_load(control& context, load_noted const& load)
{
    auto const shard = context.shards_.index_.find(load.shard_);
    if (!shard || !is_serving(context.shards_, *shard))
    {
        return;
    }
    std::uint64_t const number = ++context.shards_.load_number_[*shard];
    for (team_demand const& team : load.teams_)
    {
        std::size_t const row =
            ensure_load(context.loads_, {load.shard_, team.team_});
        replace_load(context, row, team.used_, team.waiting_, number);
    }
    clear_stale_loads(context, load.shard_, number);
    if (number == 1)
    {
        context.acks_changed_ = true; // no ack comes before the first load
    }
}

void drop_loads(control& context, shard_id const& shard)
{
    for (std::size_t row = context.loads_.index_.size(); row-- > 0;)
    {
        if (context.loads_.index_.key(row).shard_ == shard)
        {
            remove_load(context.loads_, row);
        }
    }
}

// 2. Amounts

namespace
{

template <typename Function>
resources transform(resources const& a, resources const& b, Function function)
{
    return {function(a.cpu_millis(), b.cpu_millis()),
            function(a.memory_mib(), b.memory_mib()),
            function(a.accelerators(), b.accelerators())};
}

resources take_percent(resources const& amount, std::int64_t percent)
{
    return transform(amount, amount,
                     [percent](std::int64_t value, std::int64_t)
                     {
                         // Rounded up, so that headroom is never nothing.
                         return (value * percent + 99) / 100;
                     });
}

resources drop_negative(resources const& amount)
{
    return max(amount, resources());
}

// Half of what `part` exceeds `needed` by, rounded up so that single devices
// move too.
resources halve_excess(resources const& part, resources const& needed)
{
    resources const excess = drop_negative(part - needed);
    return transform(excess, excess,
                     [](std::int64_t value, std::int64_t)
                     {
                         return (value + 1) / 2;
                     });
}

std::optional<resources> find_limit(config const& value, team_id const& team)
{
    auto const found = value.teams_.find(team);
    return found == value.teams_.end() ? std::nullopt : found->second.limit_;
}

// A quarter of the limit is spread evenly; the rest follows demand.
resources find_minimum(control const& context, resources const& limit)
{
    auto const shards = static_cast<std::int64_t>(
        std::max<std::size_t>(context.shards_.index_.size(), 1));
    return {limit.cpu_millis() / (4 * shards),
            limit.memory_mib() / (4 * shards),
            limit.accelerators() / (4 * shards)};
}

allotment_part find_part(part_map const& parts, shard_id const& shard)
{
    auto const found = parts.find(shard);
    return found == parts.end() ? allotment_part{} : found->second;
}

void replace_part(part_map& parts, shard_id const& shard,
                  allotment_part const& part)
{
    parts.erase(shard);
    parts.emplace(shard, part);
}

resources sum_wants(part_map const& parts)
{
    resources sum;
    for (auto const& [shard, part] : parts)
    {
        sum = sum + part.want_;
    }
    return sum;
}

// Bounds arithmetic on demand that callers declare freely.
constexpr std::int64_t max_amount = 1'000'000'000'000;
constexpr resources    max_resources(max_amount, max_amount, max_amount);

// What one shard needs of one limit.
struct shard_demand
{
    resources const used_;
    resources const needed_;  // used and waiting, at least the minimum
    resources const trigger_; // a part below it grows
    resources const wished_;  // with the whole headroom

    friend bool operator==(shard_demand const&, shard_demand const&) = default;
};

shard_demand find_demand(control const& context, std::size_t load,
                         resources const& limit)
{
    resources const used = min(context.loads_.used_[load], max_resources);
    resources const load_sum =
        used + min(context.loads_.waiting_[load], max_resources);
    resources const    least = find_minimum(context, limit);
    std::int64_t const headroom = context.settings_.allotment_headroom_percent_;
    return {.used_ = used,
            .needed_ = max(load_sum, least),
            .trigger_ = min(
                limit, max(least, take_percent(load_sum, 100 + headroom / 2))),
            .wished_ =
                min(limit, max(least, take_percent(load_sum, 100 + headroom)))};
}

// 3. Goals of reductions

void set_goal(control& context, std::size_t load, resources const& goal)
{
    load_table&     loads = context.loads_;
    shard_id const& shard = loads.index_.key(load).shard_;
    if (loads.goal_[load] != goal)
    {
        loads.goal_.replace(load, goal);
        loads.goal_load_[load] =
            context.shards_.load_number_[*context.shards_.index_.find(shard)];
        context.changed_shards_.insert(shard);
    }
}

void clear_goal(control& context, std::size_t load)
{
    if (context.loads_.goal_[load])
    {
        context.loads_.goal_.replace(load, std::nullopt);
        context.changed_shards_.insert(context.loads_.index_.key(load).shard_);
    }
}

// What other shards want and the pool doesn't cover.
bool others_want(part_map const& parts, shard_id const& shard,
                 resources const& limit)
{
    resources const others = sum_wants(parts) - find_part(parts, shard).want_;
    return !others.fits_in(drop_negative(limit - sum_parts(parts)));
}

// A reduction that demand allows: half of the unused part when other shards
// want it, all of the excess after an idle time.
std::optional<resources> find_return(control& context, std::size_t load,
                                     part_map const&     parts,
                                     shard_demand const& demand,
                                     resources const&    limit)
{
    shard_id const& shard = context.loads_.index_.key(load).shard_;
    resources const part = find_part(parts, shard).part_;
    instant&        idle = context.loads_.idle_deadline_[load];
    if (others_want(parts, shard, limit))
    {
        resources const given = halve_excess(part, demand.needed_);
        return given.is_zero() ? std::nullopt : std::optional(part - given);
    }
    if (part.fits_in(demand.wished_))
    {
        idle = instant::never();
        return std::nullopt;
    }
    if (idle == instant::never())
    {
        idle = context.now_.after(context.settings_.allotment_idle_micros_);
    }
    return idle <= context.now_ ? std::optional(min(part, demand.wished_))
                                : std::nullopt;
}

// Sets or clears the goal of a shard's part.
void choose_goal(control& context, std::size_t load, part_map const& parts,
                 shard_demand const& demand, resources const& limit)
{
    allotment_part const part =
        find_part(parts, context.loads_.index_.key(load).shard_);
    if (part.cap_)
    {
        set_goal(context, load, part.ceiling());
        return;
    }
    auto const& goal = context.loads_.goal_[load];
    if (goal && *goal != part.part_ && goal->fits_in(part.part_) &&
        demand.needed_.fits_in(max(*goal, find_minimum(context, limit))))
    {
        return; // still wanted
    }
    auto const returned = find_return(context, load, parts, demand, limit);
    if (returned && *returned != part.part_)
    {
        set_goal(context, load, *returned);
    }
    else
    {
        clear_goal(context, load);
    }
}

// True when a load noted after the goal was told is within it.
bool is_goal_reached(control const& context, std::size_t load)
{
    load_table const& loads = context.loads_;
    return loads.load_number_[load] > loads.goal_load_[load] &&
           loads.used_[load].fits_in(*loads.goal_[load]);
}

// 4. Parts

void shrink_part(part_map& parts, shard_id const& shard, resources const& goal)
{
    allotment_part const old = find_part(parts, shard);
    replace_part(parts, shard, {.part_ = goal, .want_ = old.want_});
}

// Grows a part from the pool; what the pool doesn't cover is written as want.
void grow_part(part_map& parts, shard_id const& shard,
               shard_demand const& demand, resources const& limit)
{
    allotment_part const old = find_part(parts, shard);
    resources const      pool = drop_negative(limit - sum_parts(parts));
    resources const      grown =
        demand.trigger_.fits_in(old.part_)
                 ? old.part_
                 : old.part_ + min(pool, drop_negative(demand.wished_ - old.part_));
    resources const short_of =
        drop_negative(min(demand.needed_, limit) - grown);
    // The exact want varies with each queued task; it is rewritten only when
    // it starts, ends or comes with a change of the part.
    bool const same =
        grown == old.part_ && short_of.is_zero() == old.want_.is_zero();
    if (!same || !parts.contains(shard))
    {
        replace_part(parts, shard, {.part_ = grown, .want_ = short_of});
    }
}

void plan_shard(control& context, team_id const& team, std::size_t shard,
                resources const& limit, part_map& parts)
{
    shard_id const     id = context.shards_.index_.key(shard);
    std::size_t const  load = ensure_load(context.loads_, {id, team});
    shard_demand const demand = find_demand(context, load, limit);
    choose_goal(context, load, parts, demand, limit);
    auto const& goal = context.loads_.goal_[load];
    if (goal && is_goal_reached(context, load))
    {
        shrink_part(parts, id, *goal);
    }
    else if (!goal)
    {
        grow_part(parts, id, demand, limit);
    }
}

// The first writer of a team's row gives each shard with an owner its minimum,
// so that the owners needn't contend for the new row.
void add_minimum_parts(control const& context, resources const& limit,
                       part_map& parts)
{
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (!context.shards_.owner_[row].host_.empty())
        {
            parts.emplace(
                context.shards_.index_.key(row),
                allotment_part{.part_ = find_minimum(context, limit)});
        }
    }
}

part_map plan_parts(control& context, team_id const& team,
                    resources const& limit, part_map const& present)
{
    part_map parts = cap_parts(present, limit);
    if (parts.empty())
    {
        add_minimum_parts(context, limit, parts);
    }
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (context.shards_.phase_[row] == shard_phase::owned)
        {
            plan_shard(context, team, row, limit, parts);
        }
    }
    return parts;
}

bool serves_any(control const& context)
{
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (context.shards_.phase_[row] == shard_phase::owned)
        {
            return true;
        }
    }
    return false;
}

// Not met when a ticket was committed or accepted that this process doesn't
// know yet: its limit may be lower, or there may be one.
std::vector<row_condition> list_ticket_conditions(control const& context)
{
    return {make_condition(context.rows_, std::string(accepted_key)),
            make_condition(context.rows_, std::string(head_key))};
}

bool has_grown(part_map const& before, part_map const& after)
{
    return std::any_of(after.begin(), after.end(),
                       [&before](auto const& entry)
                       {
                           return !entry.second.part_.fits_in(
                               find_part(before, entry.first).part_);
                       });
}

// Conditional on the rows of the owned shards as well: the part of a shard that
// was taken over belongs to its new owner. Reductions don't depend on tickets.
std::vector<row_condition>
list_part_conditions(control const& context, std::string const& key, bool grows)
{
    std::vector<row_condition> conditions =
        grows ? list_ticket_conditions(context) : std::vector<row_condition>();
    conditions.push_back(make_condition(context.rows_, key));
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (context.shards_.phase_[row] == shard_phase::owned)
        {
            conditions.push_back(make_condition(
                context.rows_,
                format_shard_key(context.shards_.index_.key(row))));
        }
    }
    return conditions;
}

void commit_parts(control& context, team_id const& team, part_map const& before,
                  part_map const& parts)
{
    std::string const key = format_allotment_key(team);
    open_commit(context, {.purpose_ = commit_purpose::allotment, .team_ = team},
                list_part_conditions(context, key, has_grown(before, parts)),
                {{key, write_parts(parts, context.committed_->number_)}});
}

void remove_parts(control& context, team_id const& team)
{
    std::string const   key = format_allotment_key(team);
    row_condition const condition = make_condition(context.rows_, key);
    if (condition.revision_ != 0 && rank_self(context, key) == 0)
    {
        std::vector<row_condition> conditions = list_ticket_conditions(context);
        conditions.push_back(condition);
        open_commit(context,
                    {.purpose_ = commit_purpose::allotment, .team_ = team},
                    std::move(conditions), {{key, "", true}});
    }
}

// Returns the time of the next look without events.
instant adjust_team(control& context, team_id const& team)
{
    auto const        limit = find_limit(*context.effective_, team);
    std::size_t const row = ensure_allotment(context.allotments_, team);
    if (context.allotments_.due_[row] > context.now_)
    {
        return context.allotments_.due_[row];
    }
    if (has_commit(context,
                   {.purpose_ = commit_purpose::allotment, .team_ = team}))
    {
        return instant::never(); // its end marks the team again
    }
    if (!limit)
    {
        remove_parts(context, team);
        return instant::never();
    }
    if (!context.store_.loaded_ || !serves_any(context))
    {
        return instant::never();
    }
    part_map const present = context.allotments_.parts_[row];
    part_map const parts = plan_parts(context, team, *limit, present);
    if (parts != present)
    {
        context.allotments_.limit_[row] = *limit;
        commit_parts(context, team, present, parts);
    }
    return instant::never();
}

// 5. Telling the schedulers

part_map list_capped_parts(control const& context, team_id const& team,
                           resources const& limit)
{
    auto const row = context.allotments_.index_.find(team);
    return row ? cap_parts(context.allotments_.parts_[*row], limit)
               : part_map();
}

// What a scheduler may use: the part in the row, less reductions on their way.
// `parts` are those of the team, capped to the limit.
resources find_allotment(control const& context, shard_id const& shard,
                         team_id const& team, resources const& limit,
                         part_map const& parts)
{
    auto const load = context.loads_.index_.find({shard, team});
    if (!parts.contains(shard) && !find_limit(*context.accepted_, team))
    {
        // The limit is new and not yet accepted: what runs may stay until the
        // shard has its part, but nothing is added.
        resources const used = load ? context.loads_.used_[*load] : resources();
        return max(used, find_minimum(context, limit));
    }
    resources allotment = find_part(parts, shard).ceiling();
    if (load && context.loads_.goal_[*load])
    {
        allotment = min(allotment, *context.loads_.goal_[*load]);
    }
    return allotment;
}

void tell_shard(control& context, std::size_t shard)
{
    shard_id const               id = context.shards_.index_.key(shard);
    std::map<team_id, resources> teams;
    for (auto const& [team, entry] : context.effective_->teams_)
    {
        if (entry.limit_)
        {
            teams.emplace(team,
                          find_allotment(
                              context, id, team, *entry.limit_,
                              list_capped_parts(context, team, *entry.limit_)));
        }
    }
    if (context.shards_.told_once_[shard] != 0 &&
        teams == context.shards_.told_[shard])
    {
        return;
    }
    context.shards_.told_once_[shard] = 1;
    context.shards_.told_.replace(shard, teams);
    context.outbox_.push_back(allotments_changed{id, std::move(teams)});
}

// Marks the served shards whose scheduler was told another value for the team.
void mark_shards_of_team(control& context, team_id const& team)
{
    auto const     limit = find_limit(*context.effective_, team);
    part_map const parts =
        limit ? list_capped_parts(context, team, *limit) : part_map();
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (!is_serving(context.shards_, row))
        {
            continue;
        }
        shard_id const& id = context.shards_.index_.key(row);
        auto const&     told = context.shards_.told_[row];
        auto const      found = told.find(team);
        bool const      same =
            limit ? found != told.end() &&
                        found->second ==
                            find_allotment(context, id, team, *limit, parts)
                       : found == told.end();
        if (!same)
        {
            context.changed_shards_.insert(id);
        }
    }
}

void tell_changed_shards(control& context)
{
    for (shard_id const& shard : std::exchange(context.changed_shards_, {}))
    {
        auto const row = context.shards_.index_.find(shard);
        if (row && is_serving(context.shards_, *row))
        {
            tell_shard(context, *row);
        }
    }
}

// Teams of a newly served shard have to be looked at too.
void mark_teams_of_new_shards(control& context)
{
    for (shard_id const& shard : context.changed_shards_)
    {
        auto const row = context.shards_.index_.find(shard);
        if (row && context.shards_.told_once_[*row] == 0)
        {
            mark_limited_teams(context, *context.effective_);
            return;
        }
    }
}

instant find_idle_deadline(control const& context)
{
    instant next = instant::never();
    for (instant const deadline : context.loads_.idle_deadline_)
    {
        if (deadline > context.now_)
        {
            next = std::min(next, deadline);
        }
    }
    return next;
}

// Marks the teams whose unused parts are due.
void mark_idle_teams(control& context)
{
    load_table& loads = context.loads_;
    for (std::size_t row = 0; row < loads.index_.size(); ++row)
    {
        if (loads.idle_deadline_[row] <= context.now_)
        {
            context.changed_teams_.insert(loads.index_.key(row).team_);
        }
    }
}

} // namespace

void mark_limited_teams(control& context, config const& value)
{
    for (auto const& [id, team] : value.teams_)
    {
        if (team.limit_)
        {
            context.changed_teams_.insert(id);
        }
    }
}

namespace
{

// An open commit that was planned for a higher limit may still take effect and
// grow a part beyond the present one.
bool has_outdated_commit(control const& context, team_id const& team,
                         resources const& limit)
{
    auto const row = context.allotments_.index_.find(team);
    return row &&
           has_commit(context,
                      {.purpose_ = commit_purpose::allotment, .team_ = team}) &&
           !context.allotments_.limit_[*row].fits_in(limit);
}

bool holds_limit(control const& context, std::size_t shard, team_id const& team,
                 resources const& limit)
{
    shard_id const       id = context.shards_.index_.key(shard);
    auto const           row = context.allotments_.index_.find(team);
    part_map const       none;
    part_map const&      parts = row ? context.allotments_.parts_[*row] : none;
    allotment_part const part = find_part(parts, id);
    auto const           load = context.loads_.index_.find({id, team});
    bool const           known =
        parts.contains(id) || find_limit(*context.accepted_, team).has_value();
    bool const within =
        !load || context.loads_.used_[*load].fits_in(part.part_);
    return known && within && !part.cap_ &&
           sum_ceilings(parts).fits_in(limit) &&
           !has_outdated_commit(context, team, limit);
}

} // namespace

bool holds_limits(control const& context, std::size_t shard)
{
    auto const& teams = context.effective_->teams_;
    return std::all_of(
        teams.begin(), teams.end(),
        [&context, shard](auto const& entry)
        {
            auto const& limit = entry.second.limit_;
            return !limit || (context.shards_.load_number_[shard] != 0 &&
                              holds_limit(context, shard, entry.first, *limit));
        });
}

// 6. System

instant adjust_allotments(control& context)
{
    mark_teams_of_new_shards(context);
    instant next = instant::never();
    if (context.idle_due_ <= context.now_)
    {
        mark_idle_teams(context);
    }
    if (!context.changed_teams_.empty())
    {
        for (team_id const& team : std::exchange(context.changed_teams_, {}))
        {
            instant const due = adjust_team(context, team);
            mark_shards_of_team(context, team);
            if (due != instant::never())
            {
                context.changed_teams_.insert(team);
            }
            next = std::min(next, due);
        }
        context.idle_due_ = find_idle_deadline(context);
        context.acks_changed_ = true;
    }
    tell_changed_shards(context);
    return std::min(next, context.idle_due_);
}

} // namespace fescuevane::state

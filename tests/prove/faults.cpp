// Purpose: the faults of a run.
//
// Index of sections
//   1. Entry processes
//   2. Links and the store
//   3. Targets
//   4. Plan
//   5. Systems
#include "tests/prove/driver.hpp"

#include <algorithm>
#include <array>
#include <csignal>

namespace fescuevane::prove
{
namespace
{

constexpr std::int64_t micros_per_milli = 1000;
constexpr std::int64_t killed = -1; // `stop_began_` of an entry process

bool is_subject(driver const& context, std::string const& subject)
{
    return std::any_of(context.active_.begin(), context.active_.end(),
                       [&](active_fault const& fault)
                       {
                           return fault.subject_ == subject;
                       });
}

// 1. Entry processes

// At most two are down at the same time, as many as fail together in the
// requirements.
std::string pick_entry(driver& context, std::uint64_t choice)
{
    constexpr std::ptrdiff_t most = 2;
    entry_table&             entries = context.cell_.entries_;
    if (std::count(entries.faulty_.begin(), entries.faulty_.end(), 1) >= most)
    {
        return {};
    }
    std::size_t const count = entries.name_.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        std::size_t const row = (choice + i) % count;
        if (entries.phase_[row] == entry_phase::running &&
            entries.faulty_[row] == 0)
        {
            entries.faulty_[row] = 1;
            return entries.name_[row];
        }
    }
    return {};
}

std::size_t find_entry(driver const& context, std::string const& name)
{
    auto const& names = context.cell_.entries_.name_;
    return static_cast<std::size_t>(
        std::find(names.begin(), names.end(), name) - names.begin());
}

std::string begin_kill(driver& context, std::uint64_t choice)
{
    std::string subject = pick_entry(context, choice);
    if (!subject.empty())
    {
        std::size_t const row = find_entry(context, subject);
        context.cell_.entries_.stop_began_[row] = killed;
        context.cell_.signal_entry(row, SIGKILL);
    }
    return subject;
}

std::string begin_stop(driver& context, std::uint64_t choice)
{
    std::string subject = pick_entry(context, choice);
    if (!subject.empty())
    {
        std::size_t const row = find_entry(context, subject);
        context.cell_.entries_.stop_began_[row] = g_get_monotonic_time();
        context.cell_.entries_.phase_[row] = entry_phase::stopping;
        context.cell_.signal_entry(row, SIGTERM);
    }
    return subject;
}

// Ends when the replacement is ready.
bool end_absence(driver& context, std::string const& subject)
{
    std::size_t const row = find_entry(context, subject);
    entry_table&      entries = context.cell_.entries_;
    if (entries.phase_[row] == entry_phase::down)
    {
        context.cell_.start_entry(row);
    }
    if (entries.phase_[row] != entry_phase::running ||
        entries.stop_began_[row] != 0)
    {
        return false;
    }
    entries.faulty_[row] = 0;
    return true;
}

std::string begin_pause(driver& context, std::uint64_t choice)
{
    std::string subject = pick_entry(context, choice);
    if (!subject.empty())
    {
        context.cell_.signal_entry(find_entry(context, subject), SIGSTOP);
    }
    return subject;
}

bool end_pause(driver& context, std::string const& subject)
{
    std::size_t const row = find_entry(context, subject);
    context.cell_.signal_entry(row, SIGCONT);
    context.cell_.entries_.faulty_[row] = 0;
    return true;
}

// 2. Links and the store

std::string begin_cut(driver& context, std::uint64_t choice)
{
    for (std::string const& domain : list_domains())
    {
        if (is_subject(context, domain))
        {
            return {};
        }
    }
    std::string const& domain = list_domains()[choice % list_domains().size()];
    context.cell_.cut_domain(domain);
    return domain;
}

bool end_cut(driver& context, std::string const& subject)
{
    context.cell_.heal_domain(subject);
    return true;
}

std::string set_store(driver& context, stand_ins::platform_faults const& faults)
{
    if (is_subject(context, "store"))
    {
        return {};
    }
    context.cell_.platform().set_faults(faults, context.options_.seed_);
    return "store";
}

std::string begin_store_down(driver& context, std::uint64_t /*choice*/)
{
    return set_store(context, {.store_down_ = true});
}

std::string begin_store_slow(driver& context, std::uint64_t /*choice*/)
{
    return set_store(context, {.delay_millis_ = 300});
}

std::string begin_store_losing(driver& context, std::uint64_t /*choice*/)
{
    return set_store(context, {.lose_fraction_ = 0.5});
}

bool end_store(driver& context, std::string const& /*subject*/)
{
    context.cell_.platform().set_faults({});
    return true;
}

// 3. Targets

std::string pick_target(driver const& context, std::uint64_t choice)
{
    auto const& targets = context.cell_.target_domains_;
    auto        target = targets.begin();
    std::advance(target, static_cast<std::ptrdiff_t>(choice % targets.size()));
    return is_subject(context, target->first) ? "" : target->first;
}

void set_switches(driver& context, std::string const& target,
                  stand_ins::target_switches const& value)
{
    context.cell_.targets_of(context.cell_.target_domains_.at(target))
        .set_switches({target_id(target)}, value);
}

std::string begin_crash(driver& context, std::uint64_t choice)
{
    std::string target = pick_target(context, choice);
    if (!target.empty())
    {
        context.cell_.targets_of(context.cell_.target_domains_.at(target))
            .crash({target_id(target)});
    }
    return target;
}

bool end_crash(driver& /*context*/, std::string const& /*subject*/)
{
    return true;
}

std::string switch_target(driver& context, std::uint64_t choice,
                          stand_ins::target_switches const& value)
{
    std::string target = pick_target(context, choice);
    if (!target.empty())
    {
        set_switches(context, target, value);
    }
    return target;
}

std::string begin_frozen(driver& context, std::uint64_t choice)
{
    return switch_target(context, choice, {.frozen_ = true});
}

std::string begin_failing(driver& context, std::uint64_t choice)
{
    return switch_target(context, choice, {.fail_tasks_ = true});
}

std::string begin_leaving(driver& context, std::uint64_t choice)
{
    std::string target = switch_target(context, choice, {.leaving_ = true});
    if (!target.empty())
    {
        context.cell_.platform().mark_leaving({target_id(target)}, true);
    }
    return target;
}

bool end_switches(driver& context, std::string const& subject)
{
    set_switches(context, subject, {});
    return true;
}

bool end_leaving(driver& context, std::string const& subject)
{
    context.cell_.platform().mark_leaving({target_id(subject)}, false);
    return end_switches(context, subject);
}

// 4. Plan

struct fault_kind
{
    std::string_view const name_;
    std::int64_t const     min_millis_;
    std::int64_t const     max_millis_;
    // The subject; empty: can't begin now.
    std::string (*const begin_)(driver&, std::uint64_t choice);
    // False: not over yet.
    bool (*const end_)(driver&, std::string const& subject);
};

// A leaving target stays away for longer than the bound of target_drain.
constexpr std::array<fault_kind, 11> kinds = {{
    {"kill", 300, 3000, &begin_kill, &end_absence},
    {"pause", 200, 4000, &begin_pause, &end_pause},
    {"graceful_stop", 0, 100, &begin_stop, &end_absence},
    {"cut", 1000, 5000, &begin_cut, &end_cut},
    {"store_down", 1000, 5000, &begin_store_down, &end_store},
    {"store_slow", 1000, 4000, &begin_store_slow, &end_store},
    {"store_losing", 1000, 4000, &begin_store_losing, &end_store},
    {"target_crash", 0, 0, &begin_crash, &end_crash},
    {"target_frozen", 1000, 5000, &begin_frozen, &end_switches},
    {"target_leaving", 8000, 9000, &begin_leaving, &end_leaving},
    {"target_failing", 1000, 4000, &begin_failing, &end_switches},
}};

void begin_due_faults(driver& context)
{
    while (context.next_fault_ < context.plan_.size())
    {
        planned_fault const& due = context.plan_[context.next_fault_];
        if (due.begin_ > context.now_)
        {
            return;
        }
        ++context.next_fault_;
        std::string const subject =
            kinds.at(due.kind_).begin_(context, due.choice_);
        if (!subject.empty())
        {
            context.active_.push_back(
                {g_get_monotonic_time(), due.end_, due.kind_, subject});
        }
    }
}

void end_due_faults(driver& context, bool all)
{
    std::vector<active_fault> left;
    for (active_fault const& fault : context.active_)
    {
        bool const due = all || fault.end_ <= context.now_;
        if (due && kinds.at(fault.kind_).end_(context, fault.subject_))
        {
            context.faults_.push_back(
                {.began_ = fault.began_,
                 .ended_ = g_get_monotonic_time(),
                 .kind_ = std::string(kinds.at(fault.kind_).name_),
                 .subject_ = fault.subject_});
        }
        else
        {
            left.push_back(fault);
        }
    }
    context.active_.swap(left);
}

// An entry process that ends by itself is started again, like on a real host.
void restart_lost_entries(driver& context)
{
    entry_table& entries = context.cell_.entries_;
    for (std::size_t row = 0; row < entries.name_.size(); ++row)
    {
        if (entries.phase_[row] == entry_phase::down &&
            entries.faulty_[row] == 0)
        {
            context.cell_.start_entry(row);
        }
    }
}

} // namespace

// Each kind occurs once before one occurs again.
void plan_faults(driver& context)
{
    constexpr std::int64_t   interval_micros = 1'200 * micros_per_milli;
    constexpr std::int64_t   lead_micros = 1'000 * micros_per_milli;
    std::vector<std::size_t> order;
    for (std::int64_t time = context.begin_ + lead_micros;
         time < context.quiet_; time += interval_micros)
    {
        if (order.empty())
        {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            {
                order.push_back(kind);
            }
            std::shuffle(order.begin(), order.end(), context.random_);
        }
        fault_kind const&  kind = kinds.at(order.back());
        std::int64_t const span = kind.max_millis_ - kind.min_millis_ + 1;
        std::int64_t const end =
            time + (kind.min_millis_ +
                    std::int64_t(choose(context, std::uint64_t(span)))) *
                       micros_per_milli;
        planned_fault const planned{time, std::min(end, context.quiet_),
                                    order.back(), context.random_()};
        order.pop_back();
        context.plan_.push_back(planned);
    }
}

// 5. Systems

void make_faults(driver& context)
{
    begin_due_faults(context);
    end_due_faults(context, false);
}

void end_faults(driver& context)
{
    context.next_fault_ = context.plan_.size();
    end_due_faults(context, true);
}

// Processes that have started are asked until they are ready.
void restart_entries(driver& context)
{
    constexpr std::int64_t timeout_ms = 1000;
    restart_lost_entries(context);
    entry_table& entries = context.cell_.entries_;
    for (std::size_t row = 0; row < entries.name_.size(); ++row)
    {
        if (entries.phase_[row] != entry_phase::starting ||
            !context.awaited_ready_.insert(row).second)
        {
            continue;
        }
        context.http_.send({.address_ = entries.http_[row],
                            .path_ = "/readyz",
                            .timeout_ms_ = timeout_ms},
                           [&context, row](http_reply const& reply)
                           {
                               entry_table& table = context.cell_.entries_;
                               context.awaited_ready_.erase(row);
                               if (reply.status_ == 200 &&
                                   table.phase_[row] == entry_phase::starting)
                               {
                                   table.phase_[row] = entry_phase::running;
                               }
                           });
    }
}

} // namespace fescuevane::prove

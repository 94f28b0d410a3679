// Purpose: the faults of a run, in series that overlap.
//
// Index of sections
//   1. Signals to hosts
//   2. Store
//   3. Targets
//   4. Operator
//   5. Table of kinds
//   6. Systems
#include "tests/soak/fault_steps.hpp"
#include "tests/soak/link_faults.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <optional>

namespace fescuevane::soak
{

std::size_t draw_host(soak_run& run)
{
    return static_cast<std::size_t>(draw(run, 0, run.options_.hosts_ - 1));
}

instant draw_end(soak_run& run, instant now, std::int64_t least_ms,
                 std::int64_t most_ms)
{
    return now.after(draw(run, least_ms, most_ms) * micros_per_milli);
}

bool kill_process(soak_run& run, std::size_t host, instant restart_at)
{
    host_row& row = run.hosts_[host];
    if (!row.process_->is_running())
    {
        return false;
    }
    row.told_to_end_ = true;
    row.process_->send_signal(SIGKILL);
    row.restart_at_ = restart_at;
    return true;
}

bool terminate_process(soak_run& run, std::size_t host, instant now)
{
    host_row& row = run.hosts_[host];
    if (!row.process_->is_running() || row.told_to_end_)
    {
        return false;
    }
    constexpr std::int64_t grace_micros = 6'000'000;
    row.told_to_end_ = true;
    row.process_->send_signal(SIGTERM);
    row.kill_at_ = now.after(grace_micros);
    return true;
}

namespace
{

// 1. Signals to hosts

std::optional<active_fault> kill_host(soak_run& run, instant now)
{
    std::size_t const row = draw_host(run);
    instant const     ends_at = draw_end(run, now, 200, 2500);
    if (!kill_process(run, row, ends_at))
    {
        return std::nullopt;
    }
    return active_fault{.object_ = run.hosts_[row].name_, .ends_at_ = ends_at};
}

std::optional<active_fault> stop_host(soak_run& run, instant now)
{
    std::size_t const row = draw_host(run);
    run.hosts_[row].process_->send_signal(SIGSTOP);
    return active_fault{.object_ = run.hosts_[row].name_,
                        .ends_at_ = draw_end(run, now, 500, 8000),
                        .end_ = [&run, row]
                        {
                            run.hosts_[row].process_->send_signal(SIGCONT);
                        }};
}

// Stops and continues the host in turns, so that it runs late all the while.
// Long turns are longer than the silence after which an owner is replaced.
active_fault starve(soak_run& run, std::size_t row, instant now,
                    instant ends_at)
{
    constexpr std::int64_t percent = 100;
    std::int64_t const     turn =
        draw(run, 60, chance(run, 0.5) ? 500 : 2500) * micros_per_milli;
    std::int64_t const works = turn * draw(run, 10, 50) / percent;
    return active_fault{
        .object_ = run.hosts_[row].name_,
        .ends_at_ = ends_at,
        .end_ =
            [&run, row]
        {
            run.hosts_[row].process_->send_signal(SIGCONT);
        },
        .step_at_ = now,
        .step_ =
            [&run, row, turn, works, stopped = false](instant at) mutable
        {
            stopped = !stopped;
            run.hosts_[row].process_->send_signal(stopped ? SIGSTOP : SIGCONT);
            return at.after(stopped ? turn - works : works);
        }};
}

std::optional<active_fault> starve_host(soak_run& run, instant now)
{
    instant const ends_at = draw_end(run, now, 3000, 12'000);
    return starve(run, draw_host(run), now, ends_at);
}

std::optional<active_fault> starve_all_hosts(soak_run& run, instant now)
{
    instant const ends_at = draw_end(run, now, 3000, 9000);
    for (std::size_t row = 1; row < run.hosts_.size(); ++row)
    {
        active_fault fault = starve(run, row, now, ends_at);
        fault.name_ = "starve_host";
        fault.began_at_ = now;
        run.faults_.push_back(std::move(fault));
    }
    return starve(run, 0, now, ends_at);
}

std::optional<active_fault> terminate_host(soak_run& run, instant now)
{
    std::size_t const row = draw_host(run);
    if (!terminate_process(run, row, now))
    {
        return std::nullopt;
    }
    constexpr std::int64_t restart_micros = 2'500'000; // at most
    host_row const&        host = run.hosts_[row];
    return active_fault{.object_ = host.name_,
                        .ends_at_ = host.kill_at_.after(restart_micros)};
}

std::optional<active_fault> reload_host(soak_run& run, instant now)
{
    host_row& host = run.hosts_[draw_host(run)];
    // A process that hasn't set its handlers yet would be ended by the signal.
    constexpr std::int64_t start_micros = 2'000'000;
    if (now < host.started_at_.after(start_micros) || host.told_to_end_)
    {
        return std::nullopt;
    }
    host.process_->send_signal(SIGHUP);
    return active_fault{.object_ = host.name_, .ends_at_ = now};
}

// 2. Store

void send_store_faults(soak_run& run, bool drop_history = false)
{
    post_control(
        run, run.layout_.store_control(), "/faults",
        {{"down", run.store_faults_.down_},
         {"silent", run.store_faults_.silent_},
         {"lost", run.store_faults_.lost_share_},
         {"late", run.store_faults_.late_share_},
         {"delay_ms", run.store_faults_.delay_micros_ / micros_per_milli},
         {"drop_history", drop_history}},
        {});
}

template <typename Value>
std::optional<active_fault> set_store_fault(soak_run& run, instant ends_at,
                                            Value store_faults::*field,
                                            Value const&         value)
{
    run.store_faults_.*field = value;
    send_store_faults(run);
    return active_fault{.object_ = "store",
                        .ends_at_ = ends_at,
                        .end_ = [&run, field]
                        {
                            run.store_faults_.*field = Value();
                            send_store_faults(run);
                        }};
}

std::optional<active_fault> down_store(soak_run& run, instant now)
{
    return set_store_fault(run, draw_end(run, now, 300, 6000),
                           &store_faults::down_, true);
}

std::optional<active_fault> silence_store(soak_run& run, instant now)
{
    return set_store_fault(run, draw_end(run, now, 300, 5000),
                           &store_faults::silent_, true);
}

std::optional<active_fault> lose_answers(soak_run& run, instant now)
{
    constexpr double share = 0.3;
    return set_store_fault(run, draw_end(run, now, 1000, 6000),
                           &store_faults::lost_share_, share);
}

std::optional<active_fault> delay_writes(soak_run& run, instant now)
{
    constexpr double share = 0.2;
    return set_store_fault(run, draw_end(run, now, 1000, 5000),
                           &store_faults::late_share_, share);
}

std::optional<active_fault> slow_store(soak_run& run, instant now)
{
    return set_store_fault(run, draw_end(run, now, 1000, 6000),
                           &store_faults::delay_micros_,
                           draw(run, 50, 800) * micros_per_milli);
}

std::optional<active_fault> drop_store_history(soak_run& run, instant now)
{
    send_store_faults(run, true);
    return active_fault{.object_ = "store", .ends_at_ = now};
}

} // namespace

// 3. Targets

void switch_target(soak_run& run, std::int64_t target, char const* fault,
                   std::int64_t micros, bool keep_id)
{
    post_control(run, run.layout_.target_control(), "/faults",
                 {{"target", target},
                  {"fault", fault},
                  {"ms", micros / micros_per_milli},
                  {"keep_id", keep_id}},
                 {});
}

namespace
{

std::optional<active_fault> harm_target(soak_run& run, char const* fault,
                                        instant now, instant ends_at,
                                        std::int64_t effect_micros)
{
    auto const target = draw(run, 0, run.options_.targets_ - 1);
    switch_target(run, target, fault, now.remaining_until(ends_at),
                  chance(run, 0.5));
    return active_fault{.object_ = "target-" + std::to_string(target + 1),
                        .ends_at_ = ends_at.after(effect_micros)};
}

std::optional<active_fault> crash_target(soak_run& run, instant now)
{
    return harm_target(run, "crash", now, draw_end(run, now, 500, 4000), 0);
}

std::optional<active_fault> drain_target(soak_run& run, instant now)
{
    return harm_target(run, "drain", now, draw_end(run, now, 3000, 9000), 0);
}

std::optional<active_fault> freeze_target(soak_run& run, instant now)
{
    return harm_target(run, "freeze", now, draw_end(run, now, 500, 9000), 0);
}

active_fault harm_domain(soak_run& run, char const* fault, instant now,
                         instant ends_at)
{
    auto const first = draw(run, 0, domains - 1);
    for (auto target = first; target < run.options_.targets_; target += domains)
    {
        switch_target(run, target, fault, now.remaining_until(ends_at),
                      chance(run, 0.5));
    }
    return {.object_ = "domain-" + std::to_string(first + 1),
            .ends_at_ = ends_at};
}

// All targets of a failure domain are cut off and run on.
std::optional<active_fault> freeze_domain(soak_run& run, instant now)
{
    return harm_domain(run, "freeze", now, draw_end(run, now, 1000, 9000));
}

// Tasks on the targets make no progress, so that owners stop them and start
// them elsewhere.
std::optional<active_fault> stick_domain(soak_run& run, instant now)
{
    return harm_domain(run, "stick", now, draw_end(run, now, 2000, 6000));
}

std::optional<active_fault> make_target_late(soak_run& run, instant now)
{
    constexpr std::int64_t latest_micros = 4'000'000; // of an order
    return harm_target(run, "late", now, draw_end(run, now, 1000, 5000),
                       latest_micros);
}

std::optional<active_fault> make_target_very_late(soak_run& run, instant now)
{
    constexpr std::int64_t latest_micros = 12'000'000; // of an order
    return harm_target(run, "very_late", now, draw_end(run, now, 500, 3000),
                       latest_micros);
}

std::optional<active_fault> make_target_fail(soak_run& run, instant now)
{
    return harm_target(run, "fail", now, draw_end(run, now, 1000, 4000), 0);
}

// 4. Operator

// Changes of the operator aren't faults: bounds hold beside them.
std::optional<active_fault> change_config(soak_run& run, instant /*now*/)
{
    send_config(run);
    return std::nullopt;
}

std::optional<active_fault> evacuate_domain(soak_run& run, instant now)
{
    std::string const domain = run.hosts_[draw_host(run)].domain_;
    if (!run.evacuated_.empty())
    {
        return std::nullopt;
    }
    evacuate(run, domain);
    return active_fault{.object_ = domain,
                        .ends_at_ = draw_end(run, now, 6000, 14'000),
                        .end_ = [&run, domain]
                        {
                            take_back(run, domain);
                        }};
}

// 5. Table of kinds

struct fault_kind
{
    char const* const name_;
    int const         weight_;
    std::optional<active_fault> (*const begin_)(soak_run&, instant);
    bool const harms_; // suspends the rules with a time bound
};

constexpr std::array<fault_kind, 31> fault_kinds = {{
    {"kill_host", 3, &kill_host, true},
    {"stop_host", 3, &stop_host, true},
    {"starve_host", 5, &starve_host, true},
    {"starve_all_hosts", 1, &starve_all_hosts, true},
    {"terminate_host", 2, &terminate_host, true},
    {"reload_host", 1, &reload_host, false},
    {"cut_store_link", 2, &cut_store_link, true},
    {"reset_store_link", 1, &reset_store_link, true},
    {"delay_store_link", 2, &delay_store_link, true},
    {"cut_link", 2, &cut_link, true},
    {"cut_some_links", 2, &cut_some_links, true},
    {"reset_links", 1, &reset_links, true},
    {"delay_links", 1, &delay_links, true},
    {"cut_domain", 2, &cut_domain, true},
    {"roll_and_cut_domain", 2, &roll_and_cut_domain, true},
    {"down_store", 1, &down_store, true},
    {"silence_store", 1, &silence_store, true},
    {"lose_answers", 2, &lose_answers, true},
    {"delay_writes", 2, &delay_writes, true},
    {"slow_store", 1, &slow_store, true},
    {"drop_store_history", 1, &drop_store_history, true},
    {"crash_target", 2, &crash_target, true},
    {"drain_target", 2, &drain_target, true},
    {"freeze_target", 2, &freeze_target, true},
    {"freeze_domain", 1, &freeze_domain, true},
    {"stick_domain", 1, &stick_domain, true},
    {"late_target", 2, &make_target_late, true},
    {"very_late_target", 1, &make_target_very_late, true},
    {"failing_target", 1, &make_target_fail, true},
    {"change_config", 3, &change_config, false},
    {"evacuate_domain", 1, &evacuate_domain, false},
}};

std::size_t draw_kind(soak_run& run)
{
    std::vector<std::string> const& only = run.options_.only_;
    auto const                      weigh = [&only](fault_kind const& kind)
    {
        bool const drawn = only.empty() || std::find(only.begin(), only.end(),
                                                     kind.name_) != only.end();
        return drawn ? kind.weight_ : 0;
    };
    int all = 0;
    for (fault_kind const& kind : fault_kinds)
    {
        all += weigh(kind);
    }
    auto        rest = draw(run, 0, all - 1);
    std::size_t kind = 0;
    while (rest >= weigh(fault_kinds.at(kind)))
    {
        rest -= weigh(fault_kinds.at(kind));
        ++kind;
    }
    return kind;
}

void begin_fault(soak_run& run, std::size_t kind, instant now)
{
    std::optional<active_fault> fault = fault_kinds.at(kind).begin_(run, now);
    std::cout << now.micros() << " " << fault_kinds.at(kind).name_ << " "
              << (fault ? fault->object_ + " until " +
                              std::to_string(fault->ends_at_.micros())
                        : "")
              << std::endl;
    if (!fault)
    {
        return;
    }
    fault->name_ = fault_kinds.at(kind).name_;
    fault->began_at_ = now;
    run.faults_.push_back(std::move(*fault));
}

bool harms(std::string const& name)
{
    return std::any_of(fault_kinds.begin(), fault_kinds.end(),
                       [&name](fault_kind const& kind)
                       {
                           return kind.name_ == name && kind.harms_;
                       });
}

} // namespace

// 6. Systems

std::vector<std::string> list_fault_kinds()
{
    std::vector<std::string> names;
    names.reserve(fault_kinds.size());
    for (fault_kind const& kind : fault_kinds)
    {
        names.emplace_back(kind.name_);
    }
    return names;
}

void begin_faults(soak_run& run, instant now)
{
    constexpr std::size_t max_series = 4;
    if (now >= run.faults_end_at_)
    {
        run.series_.clear();
        return;
    }
    if (now >= run.next_series_at_ && run.series_.size() < max_series)
    {
        constexpr std::int64_t longest = 4;
        run.series_.push_back({.kind_ = draw_kind(run),
                               .left_ = static_cast<int>(draw(run, 1, longest)),
                               .next_at_ = now});
        // Now and then a pause, in which rules with a time bound hold.
        constexpr double pause_share = 0.05;
        run.next_series_at_ = chance(run, pause_share)
                                  ? draw_end(run, now, 14'000, 18'000)
                                  : draw_end(run, now, 100, 2500);
    }
    for (fault_series& series : run.series_)
    {
        if (series.next_at_ <= now)
        {
            begin_fault(run, series.kind_, now);
            --series.left_;
            series.next_at_ = draw_end(run, now, 50, 2000);
        }
    }
    std::erase_if(run.series_,
                  [](fault_series const& series)
                  {
                      return series.left_ == 0;
                  });
}

void end_faults(soak_run& run, instant now)
{
    bool const ends_all = now >= run.faults_end_at_;
    for (active_fault& fault : run.faults_)
    {
        if (fault.step_at_ <= now)
        {
            fault.step_at_ = fault.step_(now);
        }
        if (!ends_all && now < fault.ends_at_)
        {
            continue;
        }
        if (fault.end_)
        {
            fault.end_();
        }
        if (harms(fault.name_))
        {
            run.history_.faults_.push_back(
                {fault.began_at_.micros(),
                 std::max(now, fault.ends_at_).micros(), fault.name_,
                 fault.object_});
        }
        fault.ends_at_ = instant();
    }
    std::erase_if(run.faults_,
                  [](active_fault const& fault)
                  {
                      return fault.ends_at_ == instant();
                  });
}

} // namespace fescuevane::soak

// Purpose: faults of the links between hosts, targets and the store, and of a
// failure domain as a whole.
//
// Index of sections
//   1. Relay
//   2. Links to the store
//   3. Links of one host
//   4. Failure domains
#include "tests/soak/link_faults.hpp"

#include "io/main_loop.hpp"
#include "tests/soak/fault_steps.hpp"
#include "tests/stand_ins/control_error.hpp"
#include "tests/stand_ins/relay_control.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

namespace fescuevane::soak
{
namespace
{

// 1. Relay

using stand_ins::relay_control;
using relay_action = void (relay_control::*)(std::string const&);

// The relay serves its control at once, so the call may wait for the answer.
template <typename Call>
void call_relay(soak_run& run, Call const& call)
{
    try
    {
        relay_control control(run.layout_.relay_control());
        call(control);
    }
    catch (stand_ins::control_error const& error)
    {
        std::cout << error.what() << std::endl;
    }
}

void call_relay(soak_run& run, std::string const& links, relay_action action)
{
    if (!links.empty())
    {
        call_relay(run,
                   [&](relay_control& control)
                   {
                       (control.*action)(links);
                   });
    }
}

void add_link(std::string& links, std::string const& caller,
              std::string const& callee)
{
    links += (links.empty() ? "" : ",") + name_link(caller, callee);
}

// Links that are cut together: those whose callers are inside of what is cut
// off, and those into it.
struct link_cut
{
    std::string leaving_;
    std::string entering_;
};

// What passes no more, seen from inside.
struct cut_direction
{
    char const* const  name_;
    int const          weight_;
    relay_action const leaving_;
    relay_action const entering_;
};

constexpr std::array<cut_direction, 3> cut_directions = {{
    {"both", 2, &relay_control::cut, &relay_control::cut},
    {"out", 1, &relay_control::cut_outward, &relay_control::cut_inward},
    {"in", 1, &relay_control::cut_inward, &relay_control::cut_outward},
}};

cut_direction const& draw_direction(soak_run& run)
{
    auto rest = draw(run, 0, 3);
    for (cut_direction const& direction : cut_directions)
    {
        if (rest < direction.weight_)
        {
            return direction;
        }
        rest -= direction.weight_;
    }
    return cut_directions.front();
}

void begin_cut(soak_run& run, link_cut const& cut,
               cut_direction const& direction)
{
    call_relay(run, cut.leaving_, direction.leaving_);
    call_relay(run, cut.entering_, direction.entering_);
}

// Bytes that were held go on, or their connections are dropped.
void heal_cut(soak_run& run, link_cut const& cut, bool drops)
{
    for (std::string const& links : {cut.leaving_, cut.entering_})
    {
        if (drops)
        {
            call_relay(run, links, &relay_control::reset);
        }
        call_relay(run, links, &relay_control::heal);
    }
}

std::string describe_cut(std::string const&   object,
                         cut_direction const& direction, bool drops)
{
    return object + " " + direction.name_ + (drops ? " drops" : " holds");
}

active_fault cut_links(soak_run& run, std::string const& object,
                       link_cut const& cut, instant ends_at)
{
    cut_direction const& direction = draw_direction(run);
    bool const           drops = chance(run, 0.5);
    begin_cut(run, cut, direction);
    return active_fault{.object_ = describe_cut(object, direction, drops),
                        .ends_at_ = ends_at,
                        .end_ = [&run, cut, drops]
                        {
                            heal_cut(run, cut, drops);
                        }};
}

active_fault delay(soak_run& run, std::string const& object,
                   std::string const& links, std::int64_t micros,
                   instant ends_at)
{
    auto const set = [&run, links](std::int64_t amount)
    {
        call_relay(run,
                   [&](relay_control& control)
                   {
                       control.set_delay(links, amount);
                   });
    };
    set(micros);
    return active_fault{.object_ = object,
                        .ends_at_ = ends_at,
                        .end_ = [set]
                        {
                            set(0);
                        }};
}

std::string draw_store_link(soak_run& run)
{
    return name_link(run.hosts_[draw_host(run)].name_, "store");
}

} // namespace

// 2. Links to the store

std::optional<active_fault> cut_store_link(soak_run& run, instant now)
{
    std::string const link = draw_store_link(run);
    return cut_links(run, link, {.leaving_ = link},
                     draw_end(run, now, 500, 8000));
}

std::optional<active_fault> reset_store_link(soak_run& run, instant now)
{
    std::string const link = draw_store_link(run);
    call_relay(run, link, &relay_control::reset);
    return active_fault{.object_ = link, .ends_at_ = now};
}

std::optional<active_fault> delay_store_link(soak_run& run, instant now)
{
    std::string const  link = draw_store_link(run);
    std::int64_t const micros = draw(run, 20, 900) * micros_per_milli;
    return delay(run, link, link, micros, draw_end(run, now, 1000, 8000));
}

// 3. Links of one host

namespace
{

// The links of a host to targets and hosts, each with the given chance.
std::string draw_links(soak_run& run, std::size_t host, double share)
{
    std::string const& caller = run.hosts_[host].name_;
    std::string        links;
    for (int target = 0; target < run.options_.targets_; ++target)
    {
        if (chance(run, share))
        {
            add_link(links, caller, find_target_name(target));
        }
    }
    for (host_row const& other : run.hosts_)
    {
        if (other.name_ != caller && chance(run, share))
        {
            add_link(links, caller, other.name_);
        }
    }
    return links;
}

} // namespace

std::optional<active_fault> cut_link(soak_run& run, instant now)
{
    std::string const& caller = run.hosts_[draw_host(run)].name_;
    auto const         callee =
        draw(run, 0, run.options_.targets_ + run.options_.hosts_ - 1);
    std::string const name =
        callee < run.options_.targets_
            ? find_target_name(static_cast<int>(callee))
            : find_host_name(static_cast<int>(callee) - run.options_.targets_);
    if (name == caller)
    {
        return std::nullopt;
    }
    std::string const link = name_link(caller, name);
    return cut_links(run, link, {.leaving_ = link},
                     draw_end(run, now, 500, 9000));
}

std::optional<active_fault> cut_some_links(soak_run& run, instant now)
{
    constexpr double  share = 0.5;
    std::size_t const host = draw_host(run);
    link_cut const    cut{.leaving_ = draw_links(run, host, share)};
    return cut_links(run, cut.leaving_, cut, draw_end(run, now, 1000, 9000));
}

std::optional<active_fault> reset_links(soak_run& run, instant now)
{
    std::size_t const host = draw_host(run);
    call_relay(run, draw_links(run, host, 1), &relay_control::reset);
    return active_fault{.object_ = run.hosts_[host].name_, .ends_at_ = now};
}

std::optional<active_fault> delay_links(soak_run& run, instant now)
{
    std::size_t const  host = draw_host(run);
    std::string const  links = draw_links(run, host, 1);
    std::int64_t const micros = draw(run, 20, 900) * micros_per_milli;
    return delay(run, run.hosts_[host].name_, links, micros,
                 draw_end(run, now, 1000, 8000));
}

// 4. Failure domains

namespace
{

link_cut list_border(soak_run const& run, std::string const& domain)
{
    link_cut cut;
    for (host_row const& host : run.hosts_)
    {
        bool const is_inside = host.domain_ == domain;
        if (is_inside)
        {
            add_link(cut.leaving_, host.name_, "store");
        }
        std::string& links = is_inside ? cut.leaving_ : cut.entering_;
        for (host_row const& other : run.hosts_)
        {
            if ((other.domain_ == domain) != is_inside)
            {
                add_link(links, host.name_, other.name_);
            }
        }
        for (int target = 0; target < run.options_.targets_; ++target)
        {
            if ((find_domain(static_cast<std::size_t>(target)) == domain) !=
                is_inside)
            {
                add_link(links, host.name_, find_target_name(target));
            }
        }
    }
    return cut;
}

std::string draw_domain(soak_run& run)
{
    return find_domain(static_cast<std::size_t>(draw(run, 0, domains - 1)));
}

// The domain's targets go on, and the store doesn't hear of them.
void begin_domain_cut(soak_run& run, std::string const& domain,
                      cut_direction const& direction, std::int64_t micros)
{
    begin_cut(run, list_border(run, domain), direction);
    for (int target = 0; target < run.options_.targets_; ++target)
    {
        if (find_domain(static_cast<std::size_t>(target)) == domain)
        {
            switch_target(run, target, "unheard", micros, true);
        }
    }
}

using script = std::vector<std::pair<instant, std::function<void()>>>;

std::vector<std::size_t> list_hosts(soak_run const&    run,
                                    std::string const& domain)
{
    std::vector<std::size_t> rows;
    for (std::size_t row = 0; row < run.hosts_.size(); ++row)
    {
        if (run.hosts_[row].domain_ == domain)
        {
            rows.push_back(row);
        }
    }
    return rows;
}

// A target starts again under its id while nobody outside reaches it.
void restart_target_in(soak_run& run, script& steps, std::string const& domain,
                       instant begins_at, instant heals_at)
{
    std::int64_t target = 0;
    do
    {
        target = draw(run, 0, run.options_.targets_ - 1);
    } while (find_domain(static_cast<std::size_t>(target)) != domain);
    std::int64_t const at = draw(run, 0, begins_at.remaining_until(heals_at));
    std::int64_t const micros = draw(run, 300, 2000) * micros_per_milli;
    steps.emplace_back(begins_at.after(at),
                       [&run, target, micros]
                       {
                           switch_target(run, target, "crash", micros, true);
                       });
}

void pause_host_across(soak_run& run, script& steps, instant heals_at)
{
    std::size_t const host = draw_host(run);
    auto const        send = [&run, host](int number)
    {
        return [&run, host, number]
        {
            run.hosts_[host].process_->send_signal(number);
        };
    };
    steps.emplace_back(draw_end(run, heals_at, -3000, -200), send(SIGSTOP));
    steps.emplace_back(draw_end(run, heals_at, 100, 1500), send(SIGCONT));
}

void kill_all_after(soak_run& run, script& steps, instant heals_at)
{
    steps.emplace_back(
        draw_end(run, heals_at, 100, 2000),
        [&run]
        {
            for (std::size_t host = 0; host < run.hosts_.size(); ++host)
            {
                kill_process(run, host,
                             draw_end(run, io::read_clock(), 200, 3000));
            }
        });
}

} // namespace

std::optional<active_fault> cut_domain(soak_run& run, instant now)
{
    std::string const    domain = draw_domain(run);
    instant const        ends_at = draw_end(run, now, 1000, 9000);
    cut_direction const& direction = draw_direction(run);
    bool const           drops = chance(run, 0.5);
    begin_domain_cut(run, domain, direction, now.remaining_until(ends_at));
    return active_fault{.object_ = describe_cut(domain, direction, drops),
                        .ends_at_ = ends_at,
                        .end_ = [&run, domain, drops]
                        {
                            heal_cut(run, list_border(run, domain), drops);
                        }};
}

std::optional<active_fault> roll_and_cut_domain(soak_run& run, instant now)
{
    if (std::any_of(run.faults_.begin(), run.faults_.end(),
                    [](active_fault const& fault)
                    {
                        return fault.name_ == "roll_and_cut_domain";
                    }))
    {
        return std::nullopt;
    }
    std::string const    domain = draw_domain(run);
    cut_direction const& direction = draw_direction(run);
    bool const           drops = chance(run, 0.5);
    auto const           steps = std::make_shared<script>();
    instant              cuts_at = now;
    for (std::size_t const host : list_hosts(run, domain))
    {
        steps->emplace_back(cuts_at,
                            [&run, host]
                            {
                                terminate_process(run, host, io::read_clock());
                            });
        cuts_at = draw_end(run, cuts_at, 500, 2500);
    }
    instant const heals_at = draw_end(run, cuts_at, 2000, 8000);
    steps->emplace_back(
        cuts_at,
        [&run, domain, &direction, micros = cuts_at.remaining_until(heals_at)]
        {
            begin_domain_cut(run, domain, direction, micros);
        });
    if (chance(run, 0.5))
    {
        restart_target_in(run, *steps, domain, cuts_at, heals_at);
    }
    if (chance(run, 0.5))
    {
        pause_host_across(run, *steps, heals_at);
    }
    auto const heal = [&run, domain, drops]
    {
        heal_cut(run, list_border(run, domain), drops);
    };
    steps->emplace_back(heals_at, heal);
    if (chance(run, 0.7))
    {
        kill_all_after(run, *steps, heals_at);
    }
    std::stable_sort(steps->begin(), steps->end(),
                     [](auto const& a, auto const& b)
                     {
                         return a.first < b.first;
                     });
    constexpr std::int64_t rest_micros = 5'000'000; // of stops and restarts
    return active_fault{
        .object_ = describe_cut(domain, direction, drops),
        .ends_at_ = steps->back().first.after(rest_micros),
        .end_ =
            [&run, heal]
        {
            heal();
            for (host_row& host : run.hosts_)
            {
                host.process_->send_signal(SIGCONT);
            }
        },
        .step_at_ = now,
        .step_ = [steps, next = std::size_t{0}](instant at) mutable -> instant
        {
            while (next < steps->size() && (*steps)[next].first <= at)
            {
                std::cout << at.micros() << " roll_and_cut_domain step " << next
                          << std::endl;
                (*steps)[next++].second();
            }
            return next < steps->size() ? (*steps)[next].first
                                        : instant::never();
        }};
}

} // namespace fescuevane::soak

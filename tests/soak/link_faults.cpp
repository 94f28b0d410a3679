// Purpose: faults of the links between hosts, targets and the store.
//
// Index of sections
//   1. Relay
//   2. Links to the store
//   3. Links of one host
#include "tests/soak/link_faults.hpp"

#include "tests/soak/fault_steps.hpp"
#include "tests/stand_ins/control_error.hpp"
#include "tests/stand_ins/relay_control.hpp"

#include <array>
#include <iostream>
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

} // namespace fescuevane::soak

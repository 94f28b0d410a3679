// Purpose: random histories of a cell beside cuts, late messages, pauses and
// changes of owner: no task runs twice at once.
//
// Index of sections
//   1. Cell
//   2. Faults
//   3. Histories
#include "cell_partition_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// Like the sites of the users: domains with three hosts, one and two.
struct partition_history : cell_partition_fixture
{
    static constexpr std::int64_t second = micros_per_second;
    static constexpr std::int64_t ms = micros_per_milli;

    // 1. Cell

    int jobs_made_ = 0;

    explicit partition_history(std::uint64_t seed)
    {
        constexpr int targets = 5; // of a domain
        random_.seed(seed);
        extra_micros_ = chance(0.5) ? draw(0, 300 * ms) : 0;
        bool const                   listed = chance(0.5);
        std::vector<domain_id> const domains = {domain_id("a"), domain_id("b"),
                                                domain_id("c")};
        for (domain_id const& domain : domains)
        {
            for (int index = 0; index < targets; ++index)
            {
                std::string const name =
                    "t-" + domain.str() + std::to_string(index);
                add_target(name, domain.str(), domain.str() + "-rack");
                targets_.at(target_id(name)).state_.lists_stopping_ = listed;
            }
        }
        for (char const* const name :
             {"a-1", "a-2", "a-3", "b-1", "c-1", "c-2"})
        {
            add_host(name, std::string(1, *name), domains);
        }
    }

    std::string draw_host()
    {
        auto host = hosts_.begin();
        std::advance(host,
                     draw(0, static_cast<std::int64_t>(hosts_.size()) - 1));
        return host->first;
    }

    target_row& draw_target()
    {
        auto target = targets_.begin();
        std::advance(target,
                     draw(0, static_cast<std::int64_t>(targets_.size()) - 1));
        return target->second;
    }

    // A short job, a long one or a lasting one.
    void submit_job()
    {
        std::string const      id = "j" + std::to_string(++jobs_made_);
        auto const             count = static_cast<std::uint32_t>(draw(1, 7));
        std::int64_t const     kind = draw(0, 9);
        constexpr std::int64_t lasting_ms = 1'000'000'000;
        if (kind < 5)
        {
            submit(draw_host(), id,
                   {.count_ = count,
                    .demand_ = {1200, 3300, 0},
                    .estimate_ms_ = 640},
                   draw(300, 1500));
        }
        else if (kind < 9)
        {
            submit(draw_host(), id,
                   {.count_ = count,
                    .demand_ = {2500, 9200, 0},
                    .estimate_ms_ = 6000,
                    .gang_ = chance(0.2)},
                   draw(3000, 9000));
        }
        else
        {
            // Few, so that all work has room in the end.
            submit(draw_host(), id,
                   {.count_ = (count + 1) / 2,
                    .demand_ = {3100, 8800, 0},
                    .estimate_ms_ = 320,
                    .perpetual_ = true},
                   lasting_ms);
        }
    }

    // 2. Faults

    void kill_host() { kill(draw_host(), draw(200, 2500) * ms); }

    void pause_host() { pause(draw_host(), draw(300, 6000) * ms); }

    void terminate_host() { terminate(draw_host()); }

    void restart_target()
    {
        partition_target& target = draw_target().state_;
        if (target.up_)
        {
            target.crash(now_, unix_ms_);
        }
    }

    void delay_orders()
    {
        draw_target().state_.late_until_ = now_.after(draw(1000, 5000) * ms);
    }

    void hang_target()
    {
        target_id const id = draw_target().state_.info_->id_;
        targets_.at(id).state_.hangs_ = true;
        at(draw(2000, 8000) * ms,
           [this, id]
           {
               targets_.at(id).state_.hangs_ = false;
           });
    }

    void freeze_target()
    {
        draw_target().state_.frozen_until_ = now_.after(draw(500, 6000) * ms);
    }

    void lose_store_replies()
    {
        store_lost_ = 0.3;
        at(draw(1000, 4000) * ms,
           [this]
           {
               store_lost_ = 0;
           });
    }

    void delay_store_writes()
    {
        store_late_ = 0.3;
        at(draw(1000, 4000) * ms,
           [this]
           {
               store_late_ = 0;
           });
    }

    void cut_links(std::vector<std::pair<endpoint, endpoint>> const& links,
                   std::int64_t                                      micros)
    {
        cut_links_.insert(links.begin(), links.end());
        at(micros,
           [this, links]
           {
               for (auto const& link : links)
               {
                   cut_links_.erase(link);
               }
           });
    }

    void cut_host_from_store()
    {
        std::string const host = draw_host();
        cut_links({{host, store}, {store, host}}, draw(1000, 7000) * ms);
    }

    // The targets of a domain, or some of them, start again under their ids
    // after a short time and are cut off soon afterwards; their owner may be
    // killed in between.
    void recut_domain()
    {
        std::string const  domain(1, "abc"[draw(0, 2)]);
        double const       share = chance(0.5) ? 1 : 0.6;
        std::int64_t const dark = draw(400, 800) * ms;
        std::int64_t const cut = dark + draw(200, 2500) * ms;
        std::int64_t const length = draw(4000, 9000) * ms;
        for (auto& [id, target] : targets_)
        {
            if (target.state_.info_->domain_.str() == domain && chance(share))
            {
                recut_target(target.state_, dark, cut, length);
            }
        }
        if (chance(0.3))
        {
            at(draw(0, cut / ms) * ms,
               [this]
               {
                   kill_host();
               });
        }
    }

    void recut_target(partition_target& target, std::int64_t dark,
                      std::int64_t cut, std::int64_t length)
    {
        target.up_ = false;
        target.crash(now_, unix_ms_);
        at(dark,
           [this, &target]
           {
               target.crash(now_, unix_ms_);
               target.up_ = true;
           });
        at(cut,
           [this, &target, length]
           {
               std::string const name = target.info_->id_.str();
               std::vector<std::pair<endpoint, endpoint>> links = {
                   {name, store}};
               for (auto const& [host, row] : hosts_)
               {
                   links.emplace_back(host, name);
                   links.emplace_back(name, host);
               }
               cut_links(links, length);
           });
    }

    // From some hosts, in one direction or both; from all of them and from the
    // store, or not.
    void cut_target()
    {
        std::string const target = draw_target().state_.info_->id_.str();
        bool const        all = chance(0.5);
        bool const        one_way = chance(0.3);
        std::vector<std::pair<endpoint, endpoint>> links;
        for (auto const& [name, host] : hosts_)
        {
            if (all || chance(0.5))
            {
                links.emplace_back(name, target);
                if (!one_way)
                {
                    links.emplace_back(target, name);
                }
            }
        }
        if (all)
        {
            links.emplace_back(target, store);
        }
        cut_links(links, draw(1000, 8000) * ms);
    }

    // 3. Histories

    void stop_hosts_in_turn(std::int64_t from)
    {
        std::vector<std::string> names;
        for (auto const& [name, host] : hosts_)
        {
            names.push_back(name);
        }
        std::shuffle(names.begin(), names.end(), random_);
        names.resize(static_cast<std::size_t>(draw(1, 6)));
        for (std::string const& name : names)
        {
            at(from,
               [this, name]
               {
                   terminate(name);
               });
            from += draw(700, 1800) * ms;
        }
    }

    void cut_domain(std::int64_t from, std::int64_t micros)
    {
        std::string const domain = std::string(1, "abc"[draw(0, 2)]);
        at(from,
           [this, domain]
           {
               cut_domains_.insert(domain);
           });
        at(from + micros,
           [this, domain]
           {
               cut_domains_.erase(domain);
           });
    }

    void cut_power()
    {
        for (auto& [name, host] : hosts_)
        {
            kill(name, draw(500, 1500) * ms);
        }
    }

    void submit_jobs()
    {
        for (std::int64_t time = 0; time < 28 * second;
             time += draw(80, 500) * ms)
        {
            at(time,
               [this]
               {
                   submit_job();
               });
        }
    }

    void play();
    void play_recuts();
};

using fault = void (partition_history::*)();

constexpr std::array<fault, 10> faults = {
    &partition_history::kill_host,
    &partition_history::pause_host,
    &partition_history::terminate_host,
    &partition_history::restart_target,
    &partition_history::delay_orders,
    &partition_history::hang_target,
    &partition_history::freeze_target,
    &partition_history::lose_store_replies,
    &partition_history::delay_store_writes,
    &partition_history::cut_host_from_store};

// Stops of hosts in turn, then a cut of a domain, and often a power cut of all
// hosts soon after it has healed; other faults at any time.
void partition_history::play()
{
    run(3 * second);
    submit_jobs();
    std::int64_t const cut = draw(8000, 14'000) * ms;
    std::int64_t const length = draw(3500, 6500) * ms;
    stop_hosts_in_turn(cut - draw(0, 6500) * ms);
    cut_domain(cut, length);
    if (chance(0.7))
    {
        at(cut + length + draw(500, 3000) * ms,
           [this]
           {
               cut_power();
           });
    }
    std::int64_t const others = draw(0, 16);
    for (std::int64_t count = 0; count < others; ++count)
    {
        auto const kind = static_cast<std::size_t>(
            draw(0, static_cast<std::int64_t>(faults.size())));
        at(draw(3000, 24'000) * ms,
           [this, kind]
           {
               if (kind == faults.size())
               {
                   cut_target();
                   return;
               }
               (this->*faults.at(kind))();
           });
    }
    run(36 * second);
    // All faults are over; ends of targets that are silent are awaited for up
    // to 8 s after their leases have lapsed.
    run(24 * second);
}

// Orders that were meant for the former incarnation of a target may reach the
// next one, which nobody can ask any more.
void partition_history::play_recuts()
{
    keeps_cut_ = false;
    run(3 * second);
    submit_jobs();
    for (std::int64_t time = draw(3000, 6000) * ms; time < 30 * second;
         time += draw(9000, 14'000) * ms)
    {
        at(time,
           [this]
           {
               recut_domain();
           });
    }
    run(45 * second);
    run(24 * second);
}

// Plays random histories, each of which has to keep the rules.
bool keeps_rules(void (partition_history::*play)())
{
    return rc::check(
        [play]
        {
            auto const        seed = *rc::gen::noShrink(rc::gen::resize(
                       rc::kNominalSize,
                       rc::gen::inRange<std::uint32_t>(0, 1'000'000'000)));
            partition_history history(seed);
            (history.*play)();
            RC_LOG() << "seed of the history " << seed;
            RC_ASSERT(history.violations_ == std::vector<std::string>());
            RC_ASSERT(history.judge_.find_excess_start(
                          partition_history::attempts) == std::string());
            RC_ASSERT(history.find_unfinished() == std::string());
        });
}

// Guards against tasks that a new owner starts while a run that an earlier
// owner started or is stopping goes on.
TEST_CASE("random history of cuts and changes of owner, no task runs twice" *
          doctest::test_suite("partition_histories"))
{
    CHECK(keeps_rules(&partition_history::play));
}

// Guards against tasks that start elsewhere while a run goes on that the next
// incarnation of a target began by an order for the former one.
TEST_CASE("random history of restarts before cuts, no task runs twice" *
          doctest::test_suite("partition_histories"))
{
    CHECK(keeps_rules(&partition_history::play_recuts));
}

} // namespace
} // namespace fescuevane::cell

// Purpose: test fixture of one node, with a store in memory and targets whose
// replies the test provides.
#ifndef FESCUEVANE_TESTS_UNIT_CELL_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_CELL_FIXTURE_HPP

#include "cell/cell.hpp"
#include "cell/records.hpp"
#include "core/staged_job.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// The store is a table in memory that checks conditions like the real one.
struct cell_fixture
{
    settings                      settings_;
    node_ptr                      node_;
    instant                       now_ = instant(10 * micros_per_second);
    std::int64_t                  unix_ms_ = 1'000'000;
    std::vector<command>          commands_; // of the latest ticks
    std::map<row_key, stored_row> rows_;
    revision                      revision_ = 0;
    bool                          store_down_ = false; // refuses all calls
    bool store_unresponsive_ = false; // performs calls without a reply
    bool store_delayed_ = false;      // holds replies back
    bool reads_lost_ = false;         // get no reply
    std::vector<store_reply> held_;
    std::uint64_t            last_call_ = 0;
    tick_observer*           observer_ = nullptr;
    bool lists_targets_ = true;  // reports the list as complete when needed
    bool needed_targets_ = true; // in the latest tick

    cell_fixture()
    {
        settings_.host_ = host_id("host-1");
        settings_.address_ = "127.0.0.1:7000";
        settings_.domain_ = domain_id("east");
        settings_.domains_ = {domain_id("east")};
        start(1);
    }

    // Starts a new process of the node; keeps the store.
    void start(std::uint64_t incarnation)
    {
        settings_.incarnation_ = incarnation;
        needed_targets_ = true;
        node_ = make_node(settings_, now_);
        post(config_changed{make_config()});
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ == "member")
            {
                post(member_row_changed{row});
            }
        }
        post(list_complete{member_list::members});
        post(list_complete{member_list::targets});
    }

    static std::shared_ptr<cell_config const> make_config()
    {
        auto config = std::make_shared<cell_config>();
        config->version_ = 1;
        config->routes_.push_back({.policy_ = {.id_ = queue_id("orders"),
                                               .service_ = service_id("desk"),
                                               .max_attempts_ = 3,
                                               .slack_factor_ = 1.5,
                                               .objective_ms_ = 250},
                                   .host_ = "desk.example",
                                   .prefix_ = "/orders/"});
        config->organisations_.push_back(
            {{.id_ = organisation_id("cafe"), .weight_ = 100}, {"key-1"}});
        return config;
    }

    void post(event input) { post_event(*node_, std::move(input)); }

    // Stores the row of another host, which has sent no heartbeat yet.
    void store_host(std::string const& name, std::string const& domain = "east")
    {
        row_key const key{"member", "", "host/" + name};
        rows_[key] = {key,
                      write_host({"127.0.0.1:7001", domain_id(domain), 1, 5}),
                      ++revision_};
    }

    void list_target(std::string const& name, bool leaving = false)
    {
        post(target_listed{{.id_ = target_id(name),
                            .address_ = "127.0.0.1:8000",
                            .domain_ = domain_id("east"),
                            .service_ = service_id("desk"),
                            .rack_ = rack_id("r-1"),
                            .capacity_ = {4000, 8192, 0},
                            .leaving_ = leaving}});
    }

    // Runs one tick; the store replies to its calls.
    void tick()
    {
        std::vector<command> orders;
        if (!store_down_ && !store_unresponsive_)
        {
            post(members_confirmed{now_});
        }
        run_tick(*node_, now_, unix_ms_, orders, observer_);
        if (!std::exchange(needed_targets_, needs_targets(*node_)) &&
            needed_targets_ && lists_targets_)
        {
            post(list_complete{member_list::targets});
        }
        for (command const& order : orders)
        {
            if (auto const* const write = std::get_if<store_transact>(&order))
            {
                answer_write(*write);
            }
            else if (auto const* const read = std::get_if<store_read>(&order))
            {
                answer_read(*read);
            }
            commands_.push_back(order);
        }
    }

    void advance(std::int64_t micros)
    {
        now_ = now_.after(micros);
        unix_ms_ += micros / micros_per_milli;
    }

    // Runs for some time with a tick every 10 ms.
    void run(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            tick();
            advance(step);
        }
        tick();
    }

    void answer_write(store_transact const& write)
    {
        if (store_down_)
        {
            post(store_reply{.request_ = write.request_,
                             .outcome_ = store_outcome::not_done,
                             .error_ = "down"});
            return;
        }
        std::vector<stored_row> current;
        bool                    holds = true;
        for (row_condition const& condition : write.conditions_)
        {
            auto const     found = rows_.find(condition.key_);
            revision const seen =
                found == rows_.end() ? 0 : found->second.revision_;
            holds = holds && seen == condition.revision_;
            current.push_back(found == rows_.end()
                                  ? stored_row{.key_ = condition.key_}
                                  : found->second);
        }
        if (holds)
        {
            ++revision_;
            for (row_write const& change : write.writes_)
            {
                rows_.erase(change.key_);
                if (!change.remove_)
                {
                    rows_[change.key_] = {change.key_, change.value_,
                                          revision_};
                }
            }
        }
        if (store_unresponsive_)
        {
            post(store_reply{.request_ = write.request_,
                             .outcome_ = store_outcome::unknown,
                             .error_ = "silent"});
            return;
        }
        store_reply const reply{
            .request_ = write.request_,
            .outcome_ = holds ? store_outcome::done : store_outcome::conflict,
            .revision_ = revision_,
            .rows_ = holds ? std::vector<stored_row>() : current};
        if (store_delayed_)
        {
            held_.push_back(reply);
            return;
        }
        post(reply);
    }

    void deliver_store_replies()
    {
        store_delayed_ = false;
        for (store_reply const& reply : held_)
        {
            post(reply);
        }
        held_.clear();
    }

    void answer_read(store_read const& read)
    {
        if (reads_lost_)
        {
            return;
        }
        if (store_down_)
        {
            post(store_reply{.request_ = read.request_,
                             .outcome_ = store_outcome::not_done});
            return;
        }
        std::vector<stored_row> found;
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ == read.table_ && key.part_ == read.part_ &&
                key.key_ >= read.from_ &&
                (read.to_.empty() || key.key_ < read.to_))
            {
                found.push_back(row);
            }
        }
        post(store_reply{.request_ = read.request_,
                         .outcome_ = store_outcome::done,
                         .revision_ = revision_,
                         .rows_ = found});
    }

    // Removes and returns all commands of one kind issued so far.
    template <typename Command>
    std::vector<Command> take()
    {
        std::vector<Command> found;
        std::vector<command> rest;
        for (command const& order : commands_)
        {
            if (auto const* const match = std::get_if<Command>(&order))
            {
                found.push_back(*match);
            }
            else
            {
                rest.push_back(order);
            }
        }
        commands_.clear();
        for (command& order : rest)
        {
            commands_.push_back(std::move(order));
        }
        return found;
    }

    void answer_hold(hold_target const&        hold,
                     std::vector<reported_run> runs = {},
                     std::vector<reported_end> ends = {})
    {
        post(hold_reply{.request_ = hold.request_,
                        .target_ = hold.target_,
                        .outcome_ = target_outcome::done,
                        .clock_ms_ = unix_ms_,
                        .born_unix_ms_ = 7,
                        .runs_ = std::move(runs),
                        .ends_ = std::move(ends)});
    }

    void fail_hold(hold_target const& hold)
    {
        post(hold_reply{.request_ = hold.request_,
                        .target_ = hold.target_,
                        .error_ = "no answer"});
    }

    // Runs until the node serves its shard with one attached target.
    void serve()
    {
        list_target("t-1");
        run(micros_per_second);
        for (int round = 0; round < 2; ++round)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
            run(20'000);
        }
    }

    // A job of one task, accepted now.
    staged_job make_job(std::string const& id) const
    {
        return {.id_ = job_id(id),
                .organisation_ = organisation_id("cafe"),
                .queue_ = queue_id("orders"),
                .service_ = service_id("desk"),
                .payload_ = "work",
                .steps_ = {{.count_ = 1,
                            .demand_ = {1000, 512, 0},
                            .estimate_ms_ = 1000}},
                .accepted_unix_ms_ = unix_ms_};
    }

    std::uint64_t submit(std::string const& id)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id(id),
                         .job_ =
                             std::make_shared<staged_job const>(make_job(id)),
                         .deadline_ = now_.after(3 * micros_per_second)});
        return last_call_;
    }

    std::uint64_t submit_steps(std::string const&     id,
                               std::vector<step_spec> steps)
    {
        staged_job const job = make_job(id);
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job.id_,
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job.id_,
                             .organisation_ = job.organisation_,
                             .queue_ = job.queue_,
                             .service_ = job.service_,
                             .payload_ = job.payload_,
                             .steps_ = std::move(steps),
                             .accepted_unix_ms_ = job.accepted_unix_ms_}),
                         .deadline_ = now_.after(3 * micros_per_second)});
        return last_call_;
    }

    std::uint64_t ask(call_kind kind, std::string const& id)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = kind,
                         .id_ = job_id(id),
                         .deadline_ = now_.after(3 * micros_per_second)});
        return last_call_;
    }

    std::optional<job_answer> find_answer(std::uint64_t call)
    {
        std::optional<job_answer> found;
        for (command const& order : commands_)
        {
            auto const* const answer = std::get_if<answer_call>(&order);
            if (answer != nullptr && answer->call_ == call)
            {
                found = answer->answer_;
            }
        }
        return found;
    }
};

} // namespace fescuevane::cell

#endif

// Purpose: the stand-in of many targets, each an HTTP server on its own
// address.
//
// Index of sections
//   1. Calls of hosts
//   2. Reports to the store
//   3. Switches
//   4. Main function
#include "core/instant.hpp"
#include "io/deadline_queue.hpp"
#include "io/http_client.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"
#include "tests/soak/http_call.hpp"
#include "tests/soak/http_server.hpp"
#include "tests/soak/layout.hpp"
#include "tests/soak/target_world.hpp"

#include <CLI/CLI.hpp>
#include <glib-unix.h>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <stdexcept>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

constexpr std::int64_t heartbeat_micros = 1'500'000;
constexpr std::int64_t max_wait_ms = 2'000; // of a hold

struct waiting_hold
{
    http_call const    call_;
    std::size_t const  target_ = 0;
    std::int64_t const life_ = 0;
    json const         order_;
    instant const      deadline_;
};

std::vector<target_spec> read_specs(json const& content)
{
    std::vector<target_spec> specs;
    for (json const& row : content.at("targets"))
    {
        specs.push_back(
            {.name_ = row.at("name").get<std::string>(),
             .address_ = row.at("address").get<std::string>(),
             .domain_ = row.at("domain").get<std::string>(),
             .rack_ = row.at("rack").get<std::string>(),
             .capacity_ = {row.at("cpu").get<std::int64_t>(),
                           row.at("memory").get<std::int64_t>(), 0},
             .clock_permille_ = row.at("clock_permille").get<std::int64_t>()});
    }
    return specs;
}

class target_stand_in
{
public:
    target_stand_in(std::vector<target_spec> const& specs,
                    target_traits const& traits, std::string const& control,
                    std::string store_control, std::string const& history,
                    std::uint64_t seed);

private:
    void serve(std::size_t target, http_call const& call);
    void carry_out(std::size_t target, http_call const& call, bool late);
    void hold(std::size_t target, http_call const& call);
    void advance();
    void answer_holds(instant now);
    void write_events();
    void report();
    void control(http_call const& call);

    target_world                              world_;
    std::string const                         store_control_;
    std::ofstream                             history_;
    std::list<waiting_hold>                   holds_;
    io::http_client                           client_;
    io::deadline_queue                        due_;
    io::timer                                 tick_;
    io::timer                                 heartbeat_;
    std::vector<std::unique_ptr<http_server>> servers_;
    http_server                               control_server_;
};

target_stand_in::target_stand_in(std::vector<target_spec> const& specs,
                                 target_traits const&            traits,
                                 std::string const&              control,
                                 std::string                     store_control,
                                 std::string const& history, std::uint64_t seed)
    : world_(
          make_world(specs, seed, io::read_clock(), io::read_unix_ms(), traits))
    , store_control_(std::move(store_control))
    , history_(history)
    , client_(1)
    , tick_(
          [this]
          {
              advance();
          })
    , heartbeat_(
          [this]
          {
              report();
          })
    , control_server_(control,
                      [this](http_call const& call)
                      {
                          this->control(call);
                      })
{
    for (std::size_t target = 0; target < specs.size(); ++target)
    {
        servers_.push_back(
            std::make_unique<http_server>(specs[target].address_,
                                          [this, target](http_call const& call)
                                          {
                                              serve(target, call);
                                          }));
    }
    heartbeat_.arm(instant());
}

// 1. Calls of hosts

void target_stand_in::serve(std::size_t target, http_call const& call)
{
    instant const     now = io::read_clock();
    target_row const& row = world_.targets_[target];
    if (now < row.up_at_)
    {
        call.drop_();
        return;
    }
    if (now < row.frozen_until_)
    {
        due_.add(row.frozen_until_,
                 [this, target, call]
                 {
                     serve(target, call);
                 });
        return;
    }
    if (!call.instance_.empty() && call.instance_ != row.id_)
    {
        call.answer_(421, "{}");
        return;
    }
    if (call.path_ == "/hold")
    {
        hold(target, call);
        return;
    }
    if (now < std::max(row.late_until_, row.very_late_until_))
    {
        bool const         is_very_late = now < row.very_late_until_;
        std::int64_t const least_micros = is_very_late ? 2'000'000 : 500'000;
        std::int64_t const most_micros = is_very_late ? 12'000'000 : 4'000'000;
        due_.add(now.after(std::uniform_int_distribution<std::int64_t>(
                     least_micros, most_micros)(world_.random_)),
                 [this, target, call, life = row.life_]
                 {
                     if (world_.targets_[target].life_ == life)
                     {
                         carry_out(target, call, true);
                     }
                 });
        call.drop_();
        return;
    }
    carry_out(target, call, false);
}

void target_stand_in::carry_out(std::size_t target, http_call const& call,
                                bool late)
{
    struct entry
    {
        std::string_view const path_;
        reply (*const serve_)(target_world&, std::size_t, json const&, instant);
    };
    static constexpr std::array<entry, 3> entries = {
        {{"/run-start", &start_run},
         {"/run-stop", &stop_run},
         {"/pace", &pace_run}}};
    json       order = json::parse(call.body_);
    auto const host = layout::find_host(call.caller_);
    order["caller"] = host ? "host-" + std::to_string(*host + 1) : call.caller_;
    reply result{404, json::object()};
    for (entry const& entry : entries)
    {
        if (entry.path_ == call.path_)
        {
            result = entry.serve_(world_, target, order, io::read_clock());
        }
    }
    if (!late)
    {
        call.answer_(result.first, result.second.dump());
    }
    advance();
}

void target_stand_in::hold(std::size_t target, http_call const& call)
{
    instant const      now = io::read_clock();
    json const         order = json::parse(call.body_);
    std::int64_t const wait_ms =
        std::min(order.value("waitMs", std::int64_t{0}), max_wait_ms);
    auto const result = take_hold(world_, target, order, now, wait_ms > 0);
    if (result)
    {
        call.answer_(result->first, result->second.dump());
    }
    else
    {
        holds_.push_back({call, target, world_.targets_[target].life_, order,
                          now.after(wait_ms * micros_per_milli)});
    }
    advance();
}

void target_stand_in::advance()
{
    instant const now = io::read_clock();
    run_tick(world_, now);
    answer_holds(now);
    write_events();
    instant next = next_deadline(world_);
    for (waiting_hold const& hold : holds_)
    {
        next = std::min(next,
                        std::max(hold.deadline_,
                                 world_.targets_[hold.target_].frozen_until_));
    }
    tick_.arm(next);
}

void target_stand_in::answer_holds(instant now)
{
    for (auto hold = holds_.begin(); hold != holds_.end();)
    {
        target_row const& row = world_.targets_[hold->target_];
        if (row.life_ != hold->life_)
        {
            hold->call_.drop_();
            hold = holds_.erase(hold);
            continue;
        }
        bool const is_frozen = now < row.frozen_until_;
        bool const is_due = hold->deadline_ <= now || !row.ended_.empty();
        if (is_frozen || !is_due)
        {
            ++hold;
            continue;
        }
        // The call took effect when it arrived; only the lists are of now.
        json const order{
            {"fence", hold->order_.value("fence", std::int64_t{0})}};
        reply const result =
            *take_hold(world_, hold->target_, order, now, false);
        hold->call_.answer_(result.first, result.second.dump());
        hold = holds_.erase(hold);
    }
}

void target_stand_in::write_events()
{
    for (run_event const& event : world_.events_)
    {
        history_ << encode_run_event(event) << '\n';
    }
    if (!world_.events_.empty())
    {
        history_.flush();
        world_.events_.clear();
    }
}

// 2. Reports to the store

void target_stand_in::report()
{
    instant const now = io::read_clock();
    json          targets = json::object();
    for (std::size_t target = 0; target < world_.targets_.size(); ++target)
    {
        target_row const& row = world_.targets_[target];
        if (std::max({row.up_at_, row.frozen_until_, row.unheard_until_}) <=
            now)
        {
            targets[row.id_] = write_entry(world_.specs_[target], row, now);
        }
    }
    client_.send({.method_ = "POST",
                  .address_ = store_control_,
                  .path_ = "/heartbeat",
                  .body_ = json{{"targets", std::move(targets)}}.dump(),
                  .deadline_ = now.after(heartbeat_micros)},
                 [](io::http_response const&) {});
    heartbeat_.arm(now.after(heartbeat_micros));
}

// 3. Switches

void target_stand_in::control(http_call const& call)
{
    json const    body = json::parse(call.body_);
    auto const    target = body.at("target").get<std::size_t>();
    auto const    micros = body.at("ms").get<std::int64_t>() * micros_per_milli;
    auto const    name = body.at("fault").get<std::string>();
    instant const now = io::read_clock();
    instant const end = now.after(micros);
    struct entry
    {
        std::string_view const name_;
        instant target_row::*const until_;
    };
    static constexpr std::array<entry, 6> entries = {
        {{"freeze", &target_row::frozen_until_},
         {"unheard", &target_row::unheard_until_},
         {"late", &target_row::late_until_},
         {"very_late", &target_row::very_late_until_},
         {"drain", &target_row::drains_until_},
         {"fail", &target_row::fails_until_}}};
    target_row& row = world_.targets_.at(target);
    for (entry const& entry : entries)
    {
        if (entry.name_ == name)
        {
            row.*entry.until_ = end;
        }
    }
    if (name == "stick")
    {
        stick_runs(world_, target, end);
    }
    if (name == "drain")
    {
        constexpr std::int64_t away_micros = 1'000'000;
        due_.add(end,
                 [this, target, end, life = row.life_]
                 {
                     if (world_.targets_[target].life_ == life)
                     {
                         begin_new_life(world_, target, false, end,
                                        io::read_unix_ms(),
                                        end.after(away_micros));
                     }
                 });
    }
    if (name == "crash")
    {
        begin_new_life(world_, target, body.at("keep_id").get<bool>(), now,
                       io::read_unix_ms(), end);
    }
    call.answer_(200, "{}");
    advance();
}

// 4. Main function

gboolean stop_loop(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

} // namespace
} // namespace fescuevane::soak

int main(int argc, char** argv)
{
    using namespace fescuevane;
    CLI::App      app{"Stands in for the targets of a cell."};
    std::string   targets;
    std::string   control;
    std::string   store;
    std::string   history;
    std::uint64_t seed = 1;
    app.add_option("--targets", targets, "JSON file of targets")->required();
    app.add_option("--control", control, "IP:PORT of the control")->required();
    app.add_option("--store", store, "IP:PORT of the store's control")
        ->required();
    app.add_option("--history", history, "file of starts and ends")->required();
    app.add_option("--seed", seed, "seed of delays");
    CLI11_PARSE(app, argc, argv);
    try
    {
        std::ifstream               file(targets);
        auto const                  content = nlohmann::json::parse(file);
        soak::target_stand_in const stand_in(
            soak::read_specs(content),
            {.max_stop_micros_ = content.at("max_stop_ms").get<std::int64_t>() *
                                 micros_per_milli,
             .lists_stopping_ = content.at("lists_stopping").get<bool>()},
            control, store, history, seed);
        GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
        g_unix_signal_add(SIGTERM, &soak::stop_loop, loop);
        std::cout << "serving, control on " << control << std::endl;
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
    }
    catch (std::exception const& error)
    {
        std::cerr << "target_http_stand_in: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}

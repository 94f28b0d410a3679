// Purpose: the stand-in of the platform's store, as an HTTP server in memory.
//
// Index of sections
//   1. Calls of hosts
//   2. Calls of the driver and of targets
//   3. Main function
#include "core/instant.hpp"
#include "io/deadline_queue.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"
#include "tests/soak/address_views.hpp"
#include "tests/soak/http_call.hpp"
#include "tests/soak/http_server.hpp"
#include "tests/soak/layout.hpp"
#include "tests/soak/row_store.hpp"
#include "tests/soak/store_faults.hpp"

#include <CLI/CLI.hpp>
#include <glib-unix.h>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <iostream>
#include <list>
#include <random>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

// Figures of the sites under `platform`.
constexpr std::int64_t transaction_micros = 8'000;
constexpr std::int64_t read_micros = 4'000;
constexpr std::int64_t part_gap_micros = 6'667; // 150 transactions a second
constexpr std::int64_t max_part_wait_micros = 1'000'000;

// An entry of a target expires after three heartbeats of silence.
constexpr std::int64_t entry_life_micros = 4'500'000;

struct waiting_feed
{
    http_call const    call_;
    std::string const  table_;
    std::int64_t const after_ = 0;
    instant const      deadline_;
};

class platform_stand_in
{
public:
    platform_stand_in(std::string const& address, std::string const& control,
                      std::uint64_t seed);

private:
    void serve(http_call const& call);
    void transact(http_call const& call);
    void read(http_call const& call);
    void feed(http_call const& call);
    void reply(http_call const& call, answer const& result) const;
    void answer_feeds();
    void expire_entries();
    void control(http_call const& call);
    void change_rows(json const& body);
    void set_faults(json const& body);
    void take_heartbeat(json const& body);
    bool draw(double share);

    std::string const              network_; // of the run
    row_store                      store_;
    store_faults                   faults_;
    std::map<std::string, instant> part_free_;     // next transaction of a part
    std::map<std::string, instant> entry_expires_; // by id of the target
    std::list<waiting_feed>        feeds_;
    std::mt19937_64                random_;
    io::deadline_queue             due_;
    io::timer                      feed_timer_;
    io::timer                      expiry_timer_;
    http_server                    server_;
    http_server                    control_server_;
};

platform_stand_in::platform_stand_in(std::string const& address,
                                     std::string const& control,
                                     std::uint64_t      seed)
    : network_(address.substr(0, address.rfind('.') + 1))
    , random_(seed)
    , feed_timer_(
          [this]
          {
              answer_feeds();
          })
    , expiry_timer_(
          [this]
          {
              expire_entries();
          })
    , server_(address,
              [this](http_call const& call)
              {
                  serve(call);
              })
    , control_server_(control,
                      [this](http_call const& call)
                      {
                          this->control(call);
                      })
{
}

bool platform_stand_in::draw(double share)
{
    return std::uniform_real_distribution<double>()(random_) < share;
}

// 1. Calls of hosts

void platform_stand_in::serve(http_call const& call)
{
    struct entry
    {
        std::string_view const path_;
        void (platform_stand_in::*const serve_)(http_call const&);
    };
    static constexpr std::array<entry, 3> entries = {{
        {"/rows-tx", &platform_stand_in::transact},
        {"/rows-get", &platform_stand_in::read},
        {"/rows-feed", &platform_stand_in::feed},
    }};
    if (faults_.silent_)
    {
        call.drop_();
        return;
    }
    if (faults_.down_)
    {
        call.answer_(503, "{}");
        return;
    }
    for (entry const& entry : entries)
    {
        if (entry.path_ == call.path_)
        {
            (this->*entry.serve_)(call);
            return;
        }
    }
    call.answer_(404, "{}");
}

// Each host reads the addresses of its own links.
void platform_stand_in::reply(http_call const& call, answer const& result) const
{
    json body = result.second;
    if (body.contains("rows"))
    {
        view_rows(body.at("rows"), network_, layout::find_host(call.caller_));
    }
    call.answer_(result.first, body.dump());
}

void platform_stand_in::transact(http_call const& call)
{
    json body = json::parse(call.body_);
    if (body.contains("writes"))
    {
        view_rows(body.at("writes"), network_, std::nullopt);
    }
    instant const now = io::read_clock();
    instant&      free = part_free_[find_part(body)];
    if (now.remaining_until(free) > max_part_wait_micros)
    {
        call.answer_(429, "{}");
        return;
    }
    free = std::max(now, free).after(part_gap_micros);
    bool const             late = draw(faults_.late_share_);
    bool const             lost = late || draw(faults_.lost_share_);
    constexpr std::int64_t late_micros = 3'000'000;
    due_.add(free.after(transaction_micros - part_gap_micros +
                        faults_.delay_micros_ + (late ? late_micros : 0)),
             [this, call, body, lost]
             {
                 answer const result = apply_transaction(store_, body);
                 feed_timer_.arm(io::read_clock());
                 if (lost)
                 {
                     call.drop_();
                     return;
                 }
                 reply(call, result);
             });
}

void platform_stand_in::read(http_call const& call)
{
    due_.add(io::read_clock().after(read_micros + faults_.delay_micros_),
             [this, call]
             {
                 reply(call, read_rows(store_, call.query_));
             });
}

void platform_stand_in::feed(http_call const& call)
{
    instant const now = io::read_clock();
    feeds_.push_back(
        {call, call.query_.at("table"), std::stoll(call.query_.at("after")),
         now.after(std::stoll(call.query_.at("waitMs")) * micros_per_milli)});
    feed_timer_.arm(now.after(read_micros + faults_.delay_micros_));
}

void platform_stand_in::answer_feeds()
{
    instant const now = io::read_clock();
    instant       next = instant::never();
    if (faults_.silent_ || faults_.down_)
    {
        return; // armed again by the call that ends the outage
    }
    for (auto feed = feeds_.begin(); feed != feeds_.end();)
    {
        auto const result = read_changes(store_, feed->table_, feed->after_);
        if (result)
        {
            reply(feed->call_, *result);
        }
        else if (feed->deadline_ <= now)
        {
            feed->call_.answer_(
                200,
                json{{"rows", json::array()}, {"ver", store_.version_}}.dump());
        }
        else
        {
            next = std::min(next, feed->deadline_);
            ++feed;
            continue;
        }
        feed = feeds_.erase(feed);
    }
    feed_timer_.arm(next);
}

// 2. Calls of the driver and of targets

void platform_stand_in::expire_entries()
{
    instant const now = io::read_clock();
    instant       next = instant::never();
    for (auto entry = entry_expires_.begin(); entry != entry_expires_.end();)
    {
        if (entry->second > now)
        {
            next = std::min(next, entry->second);
            ++entry;
            continue;
        }
        remove_row(store_, {"servers", "", entry->first});
        entry = entry_expires_.erase(entry);
        feed_timer_.arm(now);
    }
    expiry_timer_.arm(next);
}

void platform_stand_in::control(http_call const& call)
{
    struct entry
    {
        std::string_view const path_;
        void (platform_stand_in::*const serve_)(json const&);
    };
    static constexpr std::array<entry, 3> entries = {{
        {"/rows", &platform_stand_in::change_rows},
        {"/faults", &platform_stand_in::set_faults},
        {"/heartbeat", &platform_stand_in::take_heartbeat},
    }};
    for (entry const& entry : entries)
    {
        if (entry.path_ == call.path_)
        {
            (this->*entry.serve_)(json::parse(call.body_));
            feed_timer_.arm(io::read_clock());
            call.answer_(200, "{}");
            return;
        }
    }
    call.answer_(404, "{}");
}

void platform_stand_in::change_rows(json const& body)
{
    for (json const& row : body.at("rows"))
    {
        row_place const place{row.at("table").get<std::string>(), "",
                              row.at("key").get<std::string>()};
        if (row.contains("text"))
        {
            put_row(store_, place, row.at("text").get<std::string>());
        }
        else
        {
            remove_row(store_, place);
        }
    }
}

void platform_stand_in::set_faults(json const& body)
{
    faults_ = {.down_ = body.value("down", false),
               .silent_ = body.value("silent", false),
               .lost_share_ = body.value("lost", 0.0),
               .late_share_ = body.value("late", 0.0),
               .delay_micros_ =
                   body.value("delay_ms", std::int64_t{0}) * micros_per_milli};
    if (body.value("drop_history", false))
    {
        drop_history(store_);
    }
}

// While the store is down, no report reaches it and entries expire.
void platform_stand_in::take_heartbeat(json const& body)
{
    if (faults_.down_ || faults_.silent_)
    {
        return;
    }
    instant const now = io::read_clock();
    for (auto const& [id, entry] : body.at("targets").items())
    {
        put_row(store_, {"servers", "", id}, entry.dump());
        entry_expires_[id] = now.after(entry_life_micros);
    }
    expire_entries();
}

// 3. Main function

gboolean stop_loop(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

void run(std::string const& address, std::string const& control,
         std::uint64_t seed)
{
    platform_stand_in const stand_in(address, control, seed);
    GMainLoop* const        loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, &stop_loop, loop);
    std::cout << "serving on " << address << std::endl;
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
}

} // namespace
} // namespace fescuevane::soak

int main(int argc, char** argv)
{
    CLI::App      app{"Stands in for the platform's store."};
    std::string   address;
    std::string   control;
    std::uint64_t seed = 1;
    app.add_option("--listen", address, "IP:PORT of the store")->required();
    app.add_option("--control", control, "IP:PORT of the control")->required();
    app.add_option("--seed", seed, "seed of lost answers");
    CLI11_PARSE(app, argc, argv);
    try
    {
        fescuevane::soak::run(address, control, seed);
    }
    catch (std::exception const& error)
    {
        std::cerr << "platform_http_stand_in: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}

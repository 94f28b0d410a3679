// Purpose: the operator of a run: configurations, evacuations, and probes of
// the version that a host has in force.
#include "tests/soak/soak_run.hpp"

#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <iostream>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

constexpr std::int64_t control_micros = 5'000'000;

} // namespace

void post_control(soak_run& run, std::string const& address,
                  std::string const& path, json const& body,
                  std::function<void()> done)
{
    run.control_.send(
        {.method_ = "POST",
         .address_ = address,
         .path_ = path,
         .body_ = body.dump(),
         .deadline_ = io::read_clock().after(control_micros)},
        [path, done = std::move(done)](io::http_response const& response)
        {
            if (response.status_ != 200)
            {
                std::cout << "control call " << path << ": " << response.status_
                          << " " << response.error_ << std::endl;
            }
            if (done)
            {
                done();
            }
        });
}

namespace
{

// The next version is sent once the store has answered for this one: on
// connections of their own they could be written in the other order.
void send_next_config(soak_run& run)
{
    if (run.config_open_ || run.configs_due_.empty())
    {
        return;
    }
    run.config_open_ = true;
    run.sent_version_ = run.configs_due_.front();
    run.configs_due_.pop_front();
    std::string const version = std::to_string(run.sent_version_);
    run.history_.limits_ = {
        {"limited", resources(run.options_.limit_millis_, 0, 0)},
        {"open", resources()}};
    json const main_route{
        {"name", "main"},     {"host", "desk.example"},
        {"prefix", "/jobs/"}, {"service", "desk"},
        {"priority", 0},      {"maxAttempts", run.history_.max_attempts_},
        {"slackFactor", 4},   {"sloMs", 3000}};
    json probe_route = main_route;
    probe_route["name"] = "probe-" + version;
    probe_route["prefix"] = "/probe-" + version + "/";
    probe_route["authExempt"] = true;
    json organisations = json::array();
    for (auto const& [name, limit] : run.history_.limits_)
    {
        organisations.push_back(
            {{"name", name},
             {"weight", 1},
             {"apiKeys",
              {"key-" + name,
               std::string("key-").append(name).append("-").append(version)}},
             {"upperBound",
              {{"cpu", limit.cpu_millis()}, {"memMb", 0}, {"gpu", 0}}}});
    }
    json const config{
        {"version", run.sent_version_},
        {"routes", {main_route, probe_route}},
        {"services", {{{"name", "desk"}, {"enforcesCapacity", false}}}},
        {"tenants", std::move(organisations)},
        {"limits", {{"maxBodyBytes", 65536}}}};
    post_control(
        run, run.layout_.store_control(), "/rows",
        {{"rows",
          {{{"table", "op"}, {"key", "config"}, {"text", config.dump()}}}}},
        [&run, sent = io::read_clock(), sent_version = run.sent_version_]
        {
            run.history_.configs_.push_back(
                {.sent_ = sent.micros(),
                 .acknowledged_ = io::read_clock().micros(),
                 .version_ = sent_version});
            run.config_open_ = false;
            send_next_config(run);
        });
}

} // namespace

// Each version adds a route of its own name and removes that of the one before.
// The key that ends in the version is withdrawn by the next one.
void send_config(soak_run& run)
{
    constexpr std::int64_t most_steps = 3;
    run.planned_version_ += draw(run, 1, most_steps);
    run.configs_due_.push_back(run.planned_version_);
    send_next_config(run);
}

void probe_configs(soak_run& run, instant now)
{
    constexpr std::int64_t gap_micros = 100'000;
    if (now < run.next_probe_at_ || run.sent_version_ == 0)
    {
        return;
    }
    run.next_probe_at_ = now.after(gap_micros);
    int const host = static_cast<int>(draw(run, 0, run.options_.hosts_ - 1));
    constexpr std::int64_t last_versions = 6;
    std::int64_t const     version = std::max<std::int64_t>(
        1, run.sent_version_ - draw(run, 0, last_versions));
    std::string const name = "host-" + std::to_string(host + 1);
    int const         life = run.hosts_[static_cast<std::size_t>(host)].life_;
    constexpr std::int64_t wait_micros = 2'000'000;
    // By the route or by the key of the version.
    bool const        by_key = chance(run, 0.5);
    std::string const text = std::to_string(version);
    run.client_.send(
        {.address_ = run.layout_.front(host),
         .path_ = by_key ? "/jobs/" : "/probe-" + text + "/",
         .headers_ = {{"Host", "desk.example"},
                      {by_key ? "Authorization" : "X-Unused",
                       "Bearer key-open-" + text}},
         .deadline_ = now.after(wait_micros)},
        [&run, now, name, life, version](io::http_response const& response)
        {
            run.history_.calls_.push_back({.began_ = now.micros(),
                                           .ended_ = io::read_clock().micros(),
                                           .kind_ = call_kind::probe,
                                           .host_ = name,
                                           .life_ = life,
                                           .status_ = response.status_,
                                           .version_ = version});
        });
}

void evacuate(soak_run& run, std::string const& domain)
{
    run.evacuated_[domain] = instant::never();
    post_control(
        run, run.layout_.store_control(), "/rows",
        {{"rows",
          {{{"table", "op"}, {"key", "evacuate/" + domain}, {"text", "{}"}}}}},
        [&run, domain]
        {
            run.evacuated_[domain] = io::read_clock();
        });
}

void take_back(soak_run& run, std::string const& domain)
{
    instant const acknowledged = run.evacuated_.at(domain);
    if (acknowledged != instant::never())
    {
        run.history_.evacuations_.push_back(
            {.acknowledged_ = acknowledged.micros(),
             .taken_back_ = io::read_clock().micros(),
             .domain_ = domain});
    }
    run.evacuated_.erase(domain);
    post_control(run, run.layout_.store_control(), "/rows",
                 {{"rows", {{{"table", "op"}, {"key", "evacuate/" + domain}}}}},
                 {});
}

} // namespace fescuevane::soak

// Purpose: starts and restarts the programs of a run.
//
// Index of sections
//   1. Files
//   2. Stand-ins
//   3. Hosts
#include "tests/soak/soak_run.hpp"

#include "io/main_loop.hpp"

#include <nlohmann/json.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace fescuevane::soak
{
namespace
{

// Room for the jobs of the soak with about half to spare.
constexpr resources target_capacity(8'000, 16'384, 0);

} // namespace

std::string find_domain(std::size_t number)
{
    return "domain-" + std::to_string(number % domains + 1);
}

std::string find_host_name(int host)
{
    return "host-" + std::to_string(host + 1);
}

std::string find_target_name(int target)
{
    return "target-" + std::to_string(target + 1);
}

std::string name_link(std::string const& caller, std::string const& callee)
{
    return caller + ">" + callee;
}

soak_run::soak_run(soak_options options, int run)
    : options_(std::move(options))
    , layout_(run)
    , random_(options_.seed_)
    , client_(16)
    , control_(4)
{
    for (int domain = 0; domain < domains; ++domain)
    {
        history_.capacity_[find_domain(static_cast<std::size_t>(domain))] =
            target_capacity;
    }
}

std::int64_t draw(soak_run& run, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least,
                                                       most)(run.random_);
}

bool chance(soak_run& run, double share)
{
    return std::uniform_real_distribution<double>()(run.random_) < share;
}

// 1. Files

namespace
{

void write_settings(soak_run const& run, std::size_t host)
{
    int const     number = static_cast<int>(host);
    std::ofstream file(run.options_.folder_ + "/" + run.hosts_[host].name_ +
                       ".yaml");
    file << "host: " << run.hosts_[host].name_
         << "\naddress: " << run.layout_.host(number)
         << "\nfailure_domain: " << run.hosts_[host].domain_
         << "\nfailure_domains: [domain-1, domain-2, domain-3]"
         << "\nfront: " << run.layout_.front(number)
         << "\nready: " << run.layout_.ready(number)
         << "\nfirst_port: " << layout::peer_port
         << "\ncpu_share: 1\nstore: " << run.layout_.store_link(number)
         << "\npolicy_service: \"\"\nmachines: \"\"\nmax_lease_ms: 10000"
         << "\nearly_start_ms: 250\nremote_rack_factor: 3\nstop_grace_s: 6\n";
}

void write_targets(soak_run& run)
{
    nlohmann::json targets = nlohmann::json::array();
    for (int target = 0; target < run.options_.targets_; ++target)
    {
        auto const row = static_cast<std::size_t>(target);
        targets.push_back({{"name", find_target_name(target)},
                           {"address", run.layout_.target(target)},
                           {"domain", find_domain(row)},
                           {"rack", "rack-" + find_domain(row)},
                           {"clock_permille", draw(run, 980, 1000)},
                           {"cpu", target_capacity.cpu_millis()},
                           {"memory", target_capacity.memory_mib()}});
    }
    auto const max_stop_ms = draw(run, 400, 900);
    bool const lists_stopping = chance(run, 0.5);
    std::ofstream(run.options_.folder_ + "/targets.json") << nlohmann::json{
        {"targets", std::move(targets)},
        {"max_stop_ms", max_stop_ms},
        {"lists_stopping", lists_stopping}}.dump(1);
    std::cout << "targets stop within " << max_stop_ms
              << " ms, runs that are being stopped are "
              << (lists_stopping ? "" : "not ") << "listed" << std::endl;
}

void write_links(soak_run const& run)
{
    std::ofstream file(run.options_.folder_ + "/links.yaml");
    file << "links:\n";
    auto const write = [&](int caller, std::string const& callee,
                           std::string const& listen,
                           std::string const& forward)
    {
        std::string const name = name_link(find_host_name(caller), callee);
        file << "  - {name: " << name << ", listen: \"" << listen
             << "\", forward: \"" << forward << "\", group: " << name
             << ", source: " << run.layout_.host(caller) << "}\n";
    };
    for (int host = 0; host < run.options_.hosts_; ++host)
    {
        write(host, "store", run.layout_.store_link(host), run.layout_.store());
        for (int other = 0; other < run.options_.hosts_; ++other)
        {
            std::string const address = run.layout_.peer(other);
            if (other != host)
            {
                write(host, find_host_name(other),
                      layout::link_of(host, address), address);
            }
        }
        for (int target = 0; target < run.options_.targets_; ++target)
        {
            std::string const address = run.layout_.target(target);
            write(host, find_target_name(target),
                  layout::link_of(host, address), address);
        }
    }
}

} // namespace

// 2. Stand-ins

void start_programs(soak_run& run)
{
    std::string const& folder = run.options_.folder_;
    std::string const  programs = run.options_.programs_ + "/";
    std::string const  seed = std::to_string(run.options_.seed_);
    write_targets(run);
    write_links(run);
    run.store_ = std::make_unique<child_process>(
        std::vector<std::string>{programs + "platform_http_stand_in",
                                 "--listen", run.layout_.store(), "--control",
                                 run.layout_.store_control(), "--seed", seed},
        folder + "/store.log");
    run.targets_ = std::make_unique<child_process>(
        std::vector<std::string>{programs + "target_http_stand_in", "--targets",
                                 folder + "/targets.json", "--control",
                                 run.layout_.target_control(), "--store",
                                 run.layout_.store_control(), "--history",
                                 folder + "/runs.jsonl", "--seed", seed},
        folder + "/targets.log");
    run.relay_ = std::make_unique<child_process>(
        std::vector<std::string>{programs + "link_relay", "--links",
                                 folder + "/links.yaml", "--control",
                                 run.layout_.relay_control()},
        folder + "/relay.log");
    for (int host = 0; host < run.options_.hosts_; ++host)
    {
        auto const row = static_cast<std::size_t>(host);
        run.hosts_.emplace_back();
        run.hosts_[row].name_ = find_host_name(host);
        run.hosts_[row].domain_ = find_domain(row);
        write_settings(run, row);
        start_host(run, row);
    }
}

void stop_programs(soak_run& run)
{
    run.hosts_.clear();
    run.relay_.reset();
    run.targets_.reset();
    run.store_.reset();
}

// 3. Hosts

void start_host(soak_run& run, std::size_t host)
{
    host_row& row = run.hosts_[host];
    row.process_.reset();
    row.process_ = std::make_unique<child_process>(
        std::vector<std::string>{
            run.options_.programs_ + "/fescuevane", "cell", "--settings",
            run.options_.folder_ + "/" + row.name_ + ".yaml"},
        run.options_.folder_ + "/" + row.name_ + ".log");
    ++row.life_;
    row.started_at_ = io::read_clock();
    row.restart_at_ = instant::never();
    row.kill_at_ = instant::never();
    row.told_to_end_ = false;
}

void restart_hosts(soak_run& run, instant now)
{
    for (std::size_t host = 0; host < run.hosts_.size(); ++host)
    {
        host_row& row = run.hosts_[host];
        if (row.process_->is_running() && row.kill_at_ <= now)
        {
            row.kill_at_ = instant::never();
            row.process_->send_signal(SIGKILL);
        }
        if (row.process_->is_running())
        {
            continue;
        }
        if (row.restart_at_ == instant::never())
        {
            if (!row.told_to_end_)
            {
                ++run.unexpected_ends_;
                std::cout << row.name_ << " ended by itself at " << now.micros()
                          << ": " << row.process_->describe_end() << std::endl;
            }
            constexpr std::int64_t least_micros = 200'000;
            constexpr std::int64_t most_micros = 2'000'000;
            row.restart_at_ = now.after(draw(run, least_micros, most_micros));
        }
        else if (row.restart_at_ <= now)
        {
            start_host(run, host);
        }
    }
}

} // namespace fescuevane::soak

// Purpose: the processes of one cell, started and stopped by the test.
//
// Index of sections
//   1. Waiting
//   2. Files
//   3. Processes
//   4. Links
#include "tests/prove/cell.hpp"

#include "tests/prove/free_addresses.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace fescuevane::prove
{
namespace
{

// 1. Waiting

constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t stop_limit_micros = 10 * micros_per_second;

// Small targets, so that the cell is often full.
constexpr std::int64_t target_cpu_millis = 4000;
constexpr std::int64_t target_memory_mib = 8192;
constexpr std::int64_t target_slots = 8;
constexpr int          targets_per_domain = 4;

gboolean wake_loop(gpointer /*data*/)
{
    return G_SOURCE_CONTINUE;
}

} // namespace

void wait_until(std::function<bool()> const& condition,
                std::int64_t limit_micros, std::string const& what)
{
    constexpr guint    wake_millis = 20;
    std::int64_t const deadline = g_get_monotonic_time() + limit_micros;
    guint const        timer = g_timeout_add(wake_millis, &wake_loop, nullptr);
    bool               met = condition();
    while (!met && g_get_monotonic_time() < deadline)
    {
        g_main_context_iteration(nullptr, TRUE);
        met = condition();
    }
    g_source_remove(timer);
    if (!met)
    {
        throw std::runtime_error("not in time: " + what);
    }
}

std::vector<std::string> const& list_domains()
{
    static std::vector<std::string> const domains = {"zone-a", "zone-b",
                                                     "zone-c"};
    return domains;
}

// 2. Files

namespace
{

std::string make_link(std::string const& name, std::string const& listen,
                      std::string const& forward, std::string const& group)
{
    return "  - {name: " + name + ", listen: \"" + listen + "\", forward: \"" +
           forward + "\", group: " + group + "}\n";
}

// The group of the links between two failure domains.
std::string make_group(std::string const& left, std::string const& right)
{
    return std::min(left, right) + "+" + std::max(left, right);
}

} // namespace

void cell::write_hosts()
{
    std::ofstream file(options_.folder_ + "/hosts.yaml");
    auto const    addresses =
        find_addresses(list_domains().size() * targets_per_domain);
    auto address = addresses.begin();
    file << "hosts:\n";
    for (std::string const& domain : list_domains())
    {
        for (int i = 0; i < targets_per_domain; ++i)
        {
            std::string const name =
                "target-" + domain.substr(5) + "-" + std::to_string(i + 1);
            file << "  - {target: " << name << ", address: \"" << *address++
                 << "\", failure_domain: " << domain << ", rack: rack-"
                 << domain.substr(5) << "-" << i / 2 + 1
                 << ", cpu_millis: " << target_cpu_millis
                 << ", memory_mib: " << target_memory_mib
                 << ", accelerators: 0, slots: " << target_slots << "}\n";
            targets_.emplace(
                name, target_capacity{{target_cpu_millis, target_memory_mib, 0},
                                      target_slots});
            target_domains_.emplace(name, domain);
        }
    }
}

void cell::write_links()
{
    std::size_t const domains = list_domains().size();
    auto const        addresses =
        find_addresses(domains + domains * entries_.name_.size());
    auto          address = addresses.begin();
    std::ofstream file(options_.folder_ + "/links.yaml");
    file << "links:\n";
    for (std::string const& domain : list_domains())
    {
        platform_links_.emplace(domain, *address);
        file << make_link(domain + "-platform", *address++, platform_address_,
                          domain + "-platform");
        for (std::size_t row = 0; row < entries_.name_.size(); ++row)
        {
            if (entries_.domain_[row] != domain)
            {
                peer_links_.emplace(domain + ">" + entries_.name_[row],
                                    *address);
                file << make_link(domain + "-" + entries_.name_[row],
                                  *address++, entries_.peer_[row],
                                  make_group(domain, entries_.domain_[row]));
            }
        }
    }
}

// Intervals are shorter than in production, so that a run of seconds sees
// leases expire and owners change.
void cell::write_settings(std::size_t row)
{
    std::string const& domain = entries_.domain_[row];
    std::ofstream      file(entries_.settings_[row]);
    file << "host: " << entries_.name_[row] << "\nfailure_domain: " << domain
         << "\nhttp_address: \"" << entries_.http_[row]
         << "\"\npeer_address: \"" << entries_.peer_[row]
         << "\"\nplatform_address: \"" << platform_links_.at(domain)
         << "\"\noperator_key: operator-key\nseed: " << options_.seed_
         << "\nintervals: {lease_ms: 3000, lease_renew_ms: 500, "
            "host_list_ms: 300, store_timeout_ms: 500, stop_grace_ms: 15000}\n"
            "membership: {suspect_after_ms: 1000, foreign_claim_delay_ms: 500, "
            "start_delay_ms: 500}\nlog: {level: info}\nfailure_domains:\n";
    for (std::string const& each : list_domains())
    {
        file << "  - {id: " << each << ", shards: 2}\n";
    }
    file << "seed_peers:\n";
    for (std::size_t peer = 0; peer < entries_.name_.size(); ++peer)
    {
        if (peer != row)
        {
            bool const near = entries_.domain_[peer] == domain;
            file << "  - {host: " << entries_.name_[peer]
                 << ", failure_domain: " << entries_.domain_[peer]
                 << ", address: \""
                 << (near ? entries_.peer_[peer]
                          : peer_links_.at(domain + ">" + entries_.name_[peer]))
                 << "\"}\n";
        }
    }
}

// 3. Processes

struct cell::exit_watch
{
    cell*             cell_;
    std::size_t const row_;
};

cell::cell(run_options const& options) : options_(options)
{
    constexpr std::size_t entries_per_domain = 2;
    std::size_t const     count = list_domains().size() * entries_per_domain;
    auto const            addresses = find_addresses(2 * count + 2);
    platform_address_ = addresses[2 * count];
    relay_address_ = addresses[2 * count + 1];
    for (std::size_t row = 0; row < count; ++row)
    {
        std::string const& domain = list_domains()[row / entries_per_domain];
        std::string const  name = "entry-" + domain.substr(5) + "-" +
                                 std::to_string(row % entries_per_domain + 1);
        entries_.name_.append(name);
        entries_.domain_.append(domain);
        entries_.http_.append(addresses[2 * row]);
        entries_.peer_.append(addresses[2 * row + 1]);
        entries_.settings_.append(options_.folder_ + "/" + name + ".yaml");
        entries_.incarnation_.append(0);
        entries_.phase_.append(entry_phase::down);
        entries_.faulty_.append(0);
        entries_.stop_began_.append(0);
        entries_.process_.append(nullptr);
    }
    write_hosts();
    write_links();
    for (std::size_t row = 0; row < count; ++row)
    {
        write_settings(row);
    }
    try
    {
        start_stand_ins();
    }
    catch (...)
    {
        stop_stand_ins();
        throw;
    }
}

cell::~cell()
{
    on_exit_ = nullptr;
    for (std::size_t row = 0; row < entries_.name_.size(); ++row)
    {
        if (entries_.process_[row] != nullptr)
        {
            g_subprocess_force_exit(entries_.process_[row]);
        }
    }
    try
    {
        wait_until(
            [this]
            {
                return std::all_of(entries_.process_.begin(),
                                   entries_.process_.end(),
                                   [](GSubprocess* process)
                                   {
                                       return process == nullptr;
                                   });
            },
            stop_limit_micros, "end of the entry processes");
    }
    catch (std::exception const& error)
    {
        g_printerr("prove: %s\n", error.what());
    }
    stop_stand_ins();
}

GSubprocess* cell::spawn(std::string const&              log,
                         std::vector<std::string> const& arguments)
{
    std::vector<char const*> words;
    words.reserve(arguments.size() + 1);
    for (std::string const& each : arguments)
    {
        words.push_back(each.c_str());
    }
    words.push_back(nullptr);
    GSubprocessLauncher* const launcher =
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
    g_subprocess_launcher_set_cwd(launcher, options_.folder_.c_str());
    g_subprocess_launcher_set_stdout_file_path(
        launcher, (options_.folder_ + "/" + log + ".log").c_str());
    GError*            error = nullptr;
    GSubprocess* const process =
        g_subprocess_launcher_spawnv(launcher, words.data(), &error);
    g_object_unref(launcher);
    if (process == nullptr)
    {
        std::string const text = error->message;
        g_error_free(error);
        throw std::runtime_error("can't start " + arguments[0] + ": " + text);
    }
    return process;
}

void cell::start_stand_ins()
{
    auto const controls = find_addresses(list_domains().size());
    stand_ins_.push_back(spawn(
        "platform",
        {options_.bin_ + "/platform_stand_in", "--listen", platform_address_,
         "--hosts", options_.folder_ + "/hosts.yaml", "--host-lag-ms", "300"}));
    stand_ins_.push_back(
        spawn("relay",
              {options_.bin_ + "/link_relay", "--links",
               options_.folder_ + "/links.yaml", "--control", relay_address_}));
    auto control = controls.begin();
    for (std::string const& domain : list_domains())
    {
        histories_.push_back(options_.folder_ + "/" + domain + ".history");
        stand_ins_.push_back(
            spawn("targets-" + domain,
                  {options_.bin_ + "/target_stand_in", "--hosts",
                   options_.folder_ + "/hosts.yaml", "--failure-domain", domain,
                   "--control", *control, "--history", histories_.back(),
                   "--usage-lag-ms", "300"}));
        target_controls_.emplace(
            domain, std::make_unique<stand_ins::target_control>(*control++));
    }
    platform_ =
        std::make_unique<stand_ins::platform_control>(platform_address_);
    relay_ = std::make_unique<stand_ins::relay_control>(relay_address_);
    platform_->read_counters(); // waits for the server
    for (auto const& [domain, targets] : target_controls_)
    {
        targets->list_status();
    }
}

void cell::stop_stand_ins()
{
    for (GSubprocess* const process : stand_ins_)
    {
        g_subprocess_send_signal(process, SIGTERM);
    }
    try
    {
        wait_until(
            [this]
            {
                return std::all_of(stand_ins_.begin(), stand_ins_.end(),
                                   [](GSubprocess* process)
                                   {
                                       return g_subprocess_get_identifier(
                                                  process) == nullptr;
                                   });
            },
            stop_limit_micros, "end of the stand-ins");
    }
    catch (std::exception const& error)
    {
        g_printerr("prove: %s\n", error.what());
    }
    for (GSubprocess* const process : stand_ins_)
    {
        g_subprocess_force_exit(process); // no effect after its end
        g_object_unref(process);
    }
    stand_ins_.clear();
}

void cell::start_entry(std::size_t row)
{
    std::int64_t const incarnation = ++entries_.incarnation_[row];
    entries_.process_[row] = spawn(
        entries_.name_[row] + "." + std::to_string(incarnation),
        {options_.bin_ + "/fescuevane", "--settings", entries_.settings_[row]});
    entries_.phase_[row] = entry_phase::starting;
    entries_.stop_began_[row] = 0;
    g_subprocess_wait_async(entries_.process_[row], nullptr, &end_watch,
                            new exit_watch{this, row});
}

void cell::end_watch(GObject* process, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<exit_watch> const watch(static_cast<exit_watch*>(data));
    auto* const                       ended = G_SUBPROCESS(process);
    g_subprocess_wait_finish(ended, result, nullptr);
    int const code = g_subprocess_get_if_exited(ended)
                         ? g_subprocess_get_exit_status(ended)
                         : -g_subprocess_get_term_sig(ended);
    cell&     owner = *watch->cell_;
    owner.entries_.process_[watch->row_] = nullptr;
    owner.entries_.phase_[watch->row_] = entry_phase::down;
    g_object_unref(ended);
    if (owner.on_exit_)
    {
        owner.on_exit_(watch->row_, code);
    }
}

void cell::signal_entry(std::size_t row, int signal)
{
    if (entries_.process_[row] != nullptr)
    {
        g_subprocess_send_signal(entries_.process_[row], signal);
    }
}

// 4. Links

void cell::cut_domain(std::string const& domain)
{
    relay_->cut(domain + "-platform");
    for (std::string const& other : list_domains())
    {
        if (other != domain)
        {
            relay_->cut(make_group(domain, other));
        }
    }
}

void cell::heal_domain(std::string const& domain)
{
    relay_->heal(domain + "-platform");
    for (std::string const& other : list_domains())
    {
        if (other != domain)
        {
            relay_->heal(make_group(domain, other));
        }
    }
}

} // namespace fescuevane::prove

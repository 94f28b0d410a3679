// Purpose: one run of the soak: tables of hosts, jobs and faults, and the
// systems that run over them each tick.
#ifndef FESCUEVANE_TESTS_SOAK_SOAK_RUN_HPP
#define FESCUEVANE_TESTS_SOAK_SOAK_RUN_HPP

#include "io/http_client.hpp"
#include "tests/soak/active_fault.hpp"
#include "tests/soak/fault_series.hpp"
#include "tests/soak/history.hpp"
#include "tests/soak/host_row.hpp"
#include "tests/soak/job_row.hpp"
#include "tests/soak/layout.hpp"
#include "tests/soak/soak_options.hpp"
#include "tests/soak/store_faults.hpp"

#include <nlohmann/json_fwd.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fescuevane::soak
{

constexpr int domains = 3; // failure domains

struct soak_run
{
    soak_run(soak_options options, int run);

    soak_options const options_;
    layout const       layout_;
    std::mt19937_64    random_;
    history            history_;

    std::unique_ptr<child_process> store_;
    std::unique_ptr<child_process> targets_;
    std::unique_ptr<child_process> relay_;
    std::deque<host_row>           hosts_;
    std::deque<job_row>            jobs_;
    std::vector<active_fault>      faults_;
    std::vector<fault_series>      series_;

    // Moments between the parts of a run.
    instant traffic_ends_at_ = instant::never();
    instant faults_end_at_ = instant::never();
    instant asks_finally_at_ = instant::never();
    instant gives_up_at_ = instant::never();

    instant                  next_job_at_;
    instant                  next_series_at_;
    instant                  next_probe_at_;
    store_faults             store_faults_;
    std::int64_t             sent_version_ = 0;    // of the configuration
    std::int64_t             planned_version_ = 0; // the latest one to be sent
    std::deque<std::int64_t> configs_due_;         // planned, oldest first
    bool                     config_open_ = false; // without an answer
    int                      unexpected_ends_ = 0;

    // Failure domains that are out, since the acknowledgement.
    std::map<std::string, instant> evacuated_;

    // Clients keep their connections; the control has its own.
    io::http_client client_;
    io::http_client control_;
};

// Random numbers of the run's seed.
std::int64_t draw(soak_run& run, std::int64_t least, std::int64_t most);
bool         chance(soak_run& run, double share);

// Names
std::string find_domain(std::size_t number); // of a host or target
std::string find_host_name(int host);
std::string find_target_name(int target);
std::string name_link(std::string const& caller, std::string const& callee);

// Programs
void start_programs(soak_run& run);
void start_host(soak_run& run, std::size_t host);
void restart_hosts(soak_run& run, instant now); // system
void stop_programs(soak_run& run);

// Operator
void send_config(soak_run& run);
void probe_configs(soak_run& run, instant now); // system
void evacuate(soak_run& run, std::string const& domain);
void take_back(soak_run& run, std::string const& domain);
void post_control(soak_run& run, std::string const& address,
                  std::string const& path, nlohmann::json const& body,
                  std::function<void()> done);

// Clients
void submit_jobs(soak_run& run, instant now); // system
void call_jobs(soak_run& run, instant now);   // system
bool are_all_confirmed(soak_run const& run);

// Faults
std::vector<std::string> list_fault_kinds();
void                     begin_faults(soak_run& run, instant now); // system
void                     end_faults(soak_run& run, instant now);   // system

} // namespace fescuevane::soak

#endif

// Purpose: the program that soaks a cell of separate processes in faults and
// checks its promises.
//
// Index of sections
//   1. Phases
//   2. Records
//   3. Verdict
//   4. Main function
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"
#include "tests/soak/checkers.hpp"
#include "tests/soak/job_codec.hpp"
#include "tests/soak/soak_run.hpp"

#include <CLI/CLI.hpp>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace fescuevane::soak
{
namespace
{

constexpr std::int64_t tick_micros = 10'000;
constexpr std::int64_t start_micros = 30'000'000;
constexpr std::int64_t finish_micros = 14'000'000; // `finish_s` of the sites

// A job may wait for leases, a takeover and its turn before it counts as
// stalled.
constexpr std::int64_t max_stall_micros = 60'000'000;

// 1. Phases

struct system
{
    char const* const name_;
    void (*const run_)(soak_run&, instant);
};

constexpr std::array<system, 6> systems = {{
    {"restart hosts", &restart_hosts},
    {"end faults", &end_faults},
    {"begin faults", &begin_faults},
    {"submit jobs", &submit_jobs},
    {"call jobs", &call_jobs},
    {"probe configurations", &probe_configs},
}};

// Runs the main loop, with a tick now and then, until the condition holds.
template <typename Condition, typename Tick>
bool run_until(Condition const& condition, instant deadline, Tick const& tick)
{
    io::timer timer([] {});
    while (!condition())
    {
        instant const now = io::read_clock();
        if (now >= deadline)
        {
            return false;
        }
        tick(now);
        timer.arm(now.after(tick_micros));
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

// Asks the address again and again until the path answers 200.
void wait_for(soak_run& run, std::string const& address,
              std::string const& path)
{
    constexpr std::int64_t gap_micros = 100'000;
    constexpr std::int64_t wait_micros = 1'000'000;
    bool                   ready = false;
    bool                   asked = false;
    instant                next;
    bool const             done = run_until(
        [&ready]
        {
            return ready;
        },
        io::read_clock().after(start_micros),
        [&](instant now)
        {
            if (asked || now < next)
            {
                return;
            }
            asked = true;
            next = now.after(gap_micros);
            run.control_.send({.method_ = "POST",
                                           .address_ = address,
                                           .path_ = path,
                                           .body_ = R"({"targets":{}})",
                                           .deadline_ = now.after(wait_micros)},
                                          [&](io::http_response const& response)
                                          {
                                  asked = false;
                                  ready = response.status_ == 200;
                              });
        });
    if (!done)
    {
        throw std::runtime_error(address + " isn't ready in time");
    }
}

void run_phases(soak_run& run)
{
    constexpr double seconds_per_minute = 60;
    start_programs(run);
    wait_for(run, run.layout_.store_control(), "/heartbeat");
    send_config(run);
    for (int host = 0; host < run.options_.hosts_; ++host)
    {
        wait_for(run, run.layout_.ready(host), "/readiness");
    }
    std::cout << io::read_clock().micros() << " all hosts are ready"
              << std::endl;
    // The first faults come when work is under way.
    constexpr std::int64_t lead_micros = 3'000'000;
    instant const          start = io::read_clock();
    run.next_series_at_ = start.after(lead_micros);
    run.faults_end_at_ = start.after(static_cast<std::int64_t>(
        run.options_.minutes_ * seconds_per_minute * micros_per_second));
    run.traffic_ends_at_ = run.faults_end_at_;
    run.asks_finally_at_ = run.faults_end_at_.after(finish_micros);
    run.gives_up_at_ = run.asks_finally_at_.after(max_stall_micros);
    run_until(
        [&run]
        {
            return io::read_clock() >= run.asks_finally_at_ &&
                   are_all_confirmed(run);
        },
        run.gives_up_at_,
        [&run](instant now)
        {
            for (system const& system : systems)
            {
                system.run_(run, now);
            }
        });
    std::cout << io::read_clock().micros() << " done" << std::endl;
}

// 2. Records

void read_runs(soak_run& run)
{
    std::ifstream file(run.options_.folder_ + "/runs.jsonl");
    std::string   line;
    while (std::getline(file, line))
    {
        run.history_.runs_.push_back(decode_run_event(line));
    }
}

void write_calls(soak_run const& run)
{
    std::ofstream file(run.options_.folder_ + "/calls.txt");
    for (call_event const& call : run.history_.calls_)
    {
        file << format_call(call) << '\n';
    }
}

void write_jobs(soak_run const& run)
{
    std::ofstream file(run.options_.folder_ + "/jobs.jsonl");
    for (auto const& [id, plan] : run.history_.plans_)
    {
        file << id << " " << encode_submission(plan) << '\n';
    }
}

// 3. Verdict

template <typename Row, typename Condition>
std::size_t count(std::vector<Row> const& rows, Condition const& condition)
{
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(), condition));
}

void print_evidence(history const& past)
{
    auto const calls = [&past](call_kind kind, unsigned status)
    {
        return count(past.calls_,
                     [=](call_event const& call)
                     {
                         return call.kind_ == kind && call.status_ == status;
                     });
    };
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    std::cout << "jobs " << past.plans_.size() << ", accepted submissions "
              << calls(call_kind::submit, ok) << ", refused "
              << calls(call_kind::submit, unavailable) << ", unanswered "
              << calls(call_kind::submit, 0) << ", acknowledged cancels "
              << calls(call_kind::cancel, ok) << ", served probes "
              << calls(call_kind::probe, ok) << ", starts "
              << count(past.runs_,
                       [](run_event const& run)
                       {
                           return run.kind_ == run_event_kind::start;
                       })
              << ", faults " << past.faults_.size() << ", evacuations "
              << past.evacuations_.size() << std::endl;
}

bool print_verdict(soak_run const& run)
{
    constexpr std::size_t shown = 3; // violations of each checker
    bool                  holds = true;
    print_evidence(run.history_);
    for (checker const& checker : list_checkers())
    {
        auto const found = checker.check_(run.history_);
        std::cout << checker.name_ << ": "
                  << (found.empty()
                          ? std::string("holds")
                          : std::to_string(found.size()) + " violations")
                  << std::endl;
        for (std::size_t row = 0; row < std::min(shown, found.size()); ++row)
        {
            std::cout << "  " << found[row].text_ << '\n';
            for (std::string const& line : found[row].lines_)
            {
                std::cout << "    " << line << '\n';
            }
        }
        holds = holds && found.empty();
    }
    if (run.unexpected_ends_ > 0)
    {
        std::cout << run.unexpected_ends_ << " processes ended by themselves"
                  << std::endl;
        holds = false;
    }
    bool const has_starts =
        std::any_of(run.history_.runs_.begin(), run.history_.runs_.end(),
                    [](run_event const& event)
                    {
                        return event.kind_ == run_event_kind::start;
                    });
    if (!has_starts)
    {
        std::cout << "nothing ran, so the run proves nothing" << std::endl;
    }
    return holds && has_starts;
}

bool soak(soak_options const& options)
{
    std::filesystem::remove_all(options.folder_);
    std::filesystem::create_directories(options.folder_);
    soak_run run(options, static_cast<int>(getpid()));
    run_phases(run);
    stop_programs(run);
    read_runs(run);
    write_calls(run);
    write_jobs(run);
    return print_verdict(run);
}

} // namespace
} // namespace fescuevane::soak

// 4. Main function

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    fescuevane::soak::soak_options options;
    bool                           keep = false;
    CLI::App app{"Soaks a cell of separate processes in faults and checks its "
                 "promises.\nExit status: 0 when all hold, 1 otherwise."};
    app.add_option("--seed", options.seed_, "seed of jobs and faults")
        ->capture_default_str();
    app.add_option("--minutes", options.minutes_, "of traffic and faults")
        ->capture_default_str();
    app.add_option("--hosts", options.hosts_, "hosts of the cell")
        ->check(CLI::Range(1, 40))
        ->capture_default_str();
    app.add_option("--targets", options.targets_, "targets of the cell")
        ->check(CLI::Range(1, 150))
        ->capture_default_str();
    app.add_option("--rate", options.jobs_a_second_, "jobs a second")
        ->capture_default_str();
    app.add_option("--lasting", options.lasting_share_,
                   "share of jobs that last, beside the usual ones")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--limit", options.limit_millis_,
                   "millicores of the limited organisation")
        ->capture_default_str();
    app.add_option("--only", options.only_, "kinds of faults; default: all")
        ->check(CLI::IsMember(fescuevane::soak::list_fault_kinds()));
    app.add_option("--folder", options.folder_, "folder of logs and histories");
    app.add_flag("--keep", keep, "keep the folder when all promises hold");
    CLI11_PARSE(app, argc, argv);
    try
    {
        std::filesystem::path const programs =
            std::filesystem::canonical("/proc/self/exe").parent_path();
        options.programs_ = programs.string();
        if (options.folder_.empty())
        {
            options.folder_ = (programs.parent_path() / "soak" /
                               ("seed-" + std::to_string(options.seed_)))
                                  .string();
        }
        bool const holds = fescuevane::soak::soak(options);
        std::cout << "seed " << options.seed_
                  << (holds ? ": all promises hold" : ": FAILED") << std::endl;
        if (holds && !keep)
        {
            std::filesystem::remove_all(options.folder_);
        }
        return holds ? 0 : 1;
    }
    catch (std::exception const& error)
    {
        std::cerr << "soak: " << error.what() << std::endl;
        return 1;
    }
}

// Purpose: the program that proves the invariants over separate processes.
//
// Index of sections
//   1. Options
//   2. Counts
//   3. Verdicts
//   4. Main function
#include "tests/prove/checkers.hpp"
#include "tests/prove/driver.hpp"
#include "tests/prove/history.hpp"

#include <CLI/CLI.hpp>
#include <glib.h>

#include <algorithm>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace fescuevane::prove
{
namespace
{

// 1. Options

struct prove_options
{
    std::string   name_; // empty: all
    bool          list_ = false;
    bool          all_ = false;
    std::uint64_t seed_ = 1;
    std::string   seeds_; // FIRST..LAST
    std::int64_t  seconds_ = 40;
    bool          keep_ = false;
};

std::pair<std::uint64_t, std::uint64_t> read_seeds(prove_options const& options)
{
    if (options.seeds_.empty())
    {
        return {options.seed_, options.seed_};
    }
    std::size_t const dots = options.seeds_.find("..");
    if (dots == std::string::npos)
    {
        throw std::invalid_argument("--seeds: expected FIRST..LAST");
    }
    return {std::stoull(options.seeds_.substr(0, dots)),
            std::stoull(options.seeds_.substr(dots + 2))};
}

// 2. Counts

using counts = std::map<std::string, long long>;

void print_counts(std::string const& title, counts const& values)
{
    std::cout << "  " << title << ':';
    for (auto const& [name, count] : values)
    {
        std::cout << ' ' << name << '=' << count;
    }
    std::cout << '\n';
}

std::string describe_result(call_event const& call)
{
    static std::map<call_end, std::string> const ends = {
        {call_end::refused, "no_connection"},
        {call_end::broken, "connection_broken"},
        {call_end::timed_out, "timed_out"},
        {call_end::open, "open"}};
    auto const end = ends.find(call.end_);
    if (end != ends.end())
    {
        return end->second;
    }
    return call.state_.empty() ? "status_" + std::to_string(call.status_)
                               : call.state_;
}

struct work_floor
{
    char const* const name_;
    long long const   count_;
    long long const   floor_;
};

// Prints the counts. False: the run did too little.
bool print_work(history const& past, std::int64_t seconds)
{
    counts calls;
    counts runs;
    counts faults;
    for (call_event const& call : past.calls_)
    {
        ++calls[describe_result(call)];
    }
    for (run_event const& run : past.runs_)
    {
        ++runs[run.event_];
    }
    for (fault_event const& fault : past.faults_)
    {
        ++faults[fault.kind_];
    }
    long long const accepted =
        std::count_if(past.tickets_.begin(), past.tickets_.end(),
                      [](ticket_event const& ticket)
                      {
                          return ticket.accepted_ >= 0;
                      });
    print_counts("calls", calls);
    print_counts("targets", runs);
    print_counts("faults", faults);
    std::cout << "  tickets: committed=" << past.tickets_.size()
              << " accepted=" << accepted << '\n';
    bool enough = true;
    for (work_floor const& floor :
         {work_floor{"answered calls", calls["answered"], 5 * seconds},
          work_floor{"starts", runs["start"], 5 * seconds},
          work_floor{"faults", static_cast<long long>(past.faults_.size()),
                     seconds / 4},
          work_floor{"kinds of faults", static_cast<long long>(faults.size()),
                     std::min<std::int64_t>(seconds / 4, 10)},
          work_floor{"accepted tickets", accepted, seconds / 8}})
    {
        if (floor.count_ < floor.floor_)
        {
            std::cout << "  TOO LITTLE: " << floor.count_ << ' ' << floor.name_
                      << ", at least " << floor.floor_ << '\n';
            enough = false;
        }
    }
    return enough;
}

// 3. Verdicts

bool print_verdict(checker const& property, history const& past)
{
    constexpr std::size_t        most_printed = 5;
    std::vector<violation> const found = property.check_(past);
    long long const              evidence = property.count_evidence_(past);
    bool const                   enough = evidence >= property.floor_;
    std::cout << "  " << property.name_ << ": "
              << (!found.empty() ? "VIOLATED"
                  : enough       ? "holds"
                                 : "TOO LITTLE")
              << ", " << found.size() << " violations, " << evidence << ' '
              << property.evidence_ << " (at least " << property.floor_
              << ")\n";
    for (std::size_t i = 0; i < std::min(found.size(), most_printed); ++i)
    {
        std::cout << "    " << found[i].text_ << '\n';
        for (std::string const& line : found[i].lines_)
        {
            std::cout << "      " << line << '\n';
        }
    }
    return found.empty() && enough;
}

// The clients' part of the history, next to those of the targets.
void write_events(history const& past, std::string const& folder)
{
    std::ofstream file(folder + "/calls.history");
    for (call_event const& call : past.calls_)
    {
        file << format_call(call) << '\n';
    }
    std::ofstream events(folder + "/events.history");
    for (fault_event const& fault : past.faults_)
    {
        events << "fault " << fault.kind_ << ' ' << fault.subject_ << ' '
               << fault.began_ << ' ' << fault.ended_ << '\n';
    }
    for (ticket_event const& ticket : past.tickets_)
    {
        events << "ticket " << ticket.number_ << ' ' << ticket.began_
               << " accepted " << ticket.accepted_;
        for (auto const& [domain, in_service] : ticket.domains_)
        {
            events << ' ' << domain << (in_service ? " in" : " out");
        }
        for (auto const& [team, limit] : ticket.limits_)
        {
            events << ' ' << team << ' ' << limit.cpu_millis();
        }
        events << '\n';
    }
}

std::string make_folder()
{
    GError*     error = nullptr;
    char* const made = g_dir_make_tmp("prove-XXXXXX", &error);
    if (made == nullptr)
    {
        std::string const text = error->message;
        g_error_free(error);
        throw std::runtime_error(text);
    }
    std::string folder = made;
    g_free(made);
    return folder;
}

// All properties of a seed are checked against one history of one run.
bool run_seed(prove_options const& options, std::uint64_t seed,
              std::string const& bin)
{
    std::string const folder = make_folder();
    std::cout << "seed " << seed << ", " << options.seconds_ << " s of load"
              << std::endl;
    bool passed = false;
    try
    {
        driver        context({.seed_ = seed,
                               .seconds_ = options.seconds_,
                               .bin_ = bin,
                               .folder_ = folder});
        history const past = run_cell(context);
        write_events(past, folder);
        passed = print_work(past, options.seconds_);
        for (checker const& property : list_checkers())
        {
            if (options.name_.empty() || options.name_ == property.name_)
            {
                passed = print_verdict(property, past) && passed;
            }
        }
    }
    catch (std::exception const& error)
    {
        std::cout << "  FAILED: " << error.what() << '\n';
    }
    if (passed && !options.keep_)
    {
        std::filesystem::remove_all(folder);
    }
    else
    {
        std::cout << "  logs and histories: " << folder << '\n';
    }
    std::cout << std::flush;
    return passed;
}

int run(prove_options const& options, std::string const& bin)
{
    if (options.list_)
    {
        for (checker const& property : list_checkers())
        {
            std::cout << property.name_ << '\n';
        }
        return 0;
    }
    auto const known = list_checkers();
    bool const named = std::any_of(known.begin(), known.end(),
                                   [&](checker const& property)
                                   {
                                       return property.name_ == options.name_;
                                   });
    if (options.all_ == named)
    {
        throw std::invalid_argument("expected --list, --all or a name of it");
    }
    auto const [first, last] = read_seeds(options);
    bool passed = first <= last;
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        passed = run_seed(options, seed, bin) && passed;
    }
    std::cout << (passed ? "prove: passed" : "prove: FAILED") << '\n';
    return passed ? 0 : 1;
}

} // namespace
} // namespace fescuevane::prove

// 4. Main function

int main(int argc, char** argv)
{
    fescuevane::prove::prove_options options;
    CLI::App app{"Proves the invariants by history checking while faults run."};
    app.add_option("name", options.name_, "Property to prove");
    app.add_flag("--list", options.list_, "Print the names of the properties");
    app.add_flag("--all", options.all_, "Check every property");
    app.add_option("--seed", options.seed_, "Of all choices")
        ->capture_default_str();
    app.add_option("--seeds", options.seeds_, "FIRST..LAST, one run each");
    app.add_option("--seconds", options.seconds_, "Of load in a run")
        ->capture_default_str()
        ->check(CLI::Range(8, 600));
    app.add_flag("--keep", options.keep_, "Keep logs and histories");
    CLI11_PARSE(app, argc, argv);
    try
    {
        std::string const bin =
            std::filesystem::canonical("/proc/self/exe").parent_path();
        return fescuevane::prove::run(options, bin);
    }
    catch (std::exception const& error)
    {
        std::cerr << "prove: " << error.what() << '\n';
        return 2;
    }
}

// Purpose: the context of one run: its tables and systems.
#ifndef FESCUEVANE_TESTS_PROVE_DRIVER_HPP
#define FESCUEVANE_TESTS_PROVE_DRIVER_HPP

#include "tests/prove/active_fault.hpp"
#include "tests/prove/cell.hpp"
#include "tests/prove/filed_ticket.hpp"
#include "tests/prove/history.hpp"
#include "tests/prove/http_client.hpp"
#include "tests/prove/planned_call.hpp"
#include "tests/prove/planned_fault.hpp"
#include "tests/prove/run_options.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fescuevane::prove
{

// Systems run over the tables at each tick of the main loop, until the run is
// over. All choices come from the seed; their timing depends on the machine.
struct driver
{
    explicit driver(run_options const& options);
    ~driver(); // exits of processes are no longer noted
    driver(driver const&) = delete;
    driver& operator=(driver const&) = delete;

    run_options const options_;
    std::mt19937_64   random_;
    cell              cell_;
    http_client       http_;

    // Times of the run, CLOCK_MONOTONIC microseconds
    std::int64_t now_ = 0;
    std::int64_t begin_ = 0;
    std::int64_t quiet_ = 0; // faults have ended
    std::int64_t end_ = 0;   // load has ended

    // Workload
    std::int64_t                       next_submit_ = 0;
    std::int64_t                       calls_made_ = 0;
    std::int64_t                       jobs_made_ = 0;
    std::vector<planned_call>          planned_calls_;
    std::deque<job_plan>               recent_jobs_;
    std::vector<call_event>            calls_;
    std::map<std::int64_t, call_event> open_calls_; // by number

    // Operator
    std::int64_t              next_ticket_ = 0;
    std::int64_t              highest_number_ = 0; // committed, as far as seen
    std::int64_t              open_filings_ = 0;
    std::vector<filed_ticket> tickets_;
    std::map<std::int64_t, std::int64_t> first_accepted_; // number: time
    std::map<std::string, std::int64_t>  limits_;         // CPU, by team
    std::map<std::string, std::set<std::string>> keys_;
    std::string              domain_out_; // empty: all in service
    std::int64_t             domain_return_ = 0;
    std::int64_t             key_return_ = 0;
    std::int64_t             next_read_ = 0;
    std::vector<config_read> reads_;

    // Faults
    std::vector<planned_fault> plan_; // by begin
    std::size_t                next_fault_ = 0;
    std::vector<active_fault>  active_;
    std::vector<fault_event>   faults_;
    std::vector<stop_event>    stops_;
    std::set<std::size_t>      awaited_ready_; // entry rows being probed
};

// Choices
std::uint64_t choose(driver& context, std::uint64_t count); // 0 to count - 1
bool          happens(driver& context, unsigned percent);
std::size_t   choose_entry(driver& context); // one that isn't down

// Systems, in the order in which a tick runs them
struct driver_system
{
    std::string_view const name_;
    void (*const run_)(driver&);
};

void run_tick(driver& context);

void make_calls(driver& context);
void file_tickets(driver& context);
void read_configs(driver& context);
void make_faults(driver& context);
void restart_entries(driver& context);

// Parts of the systems that a run starts and ends with
void plan_faults(driver& context);
void end_faults(driver& context);
void file_first_ticket(driver& context);
void resolve_tickets(driver& context); // reads back which ones were committed

// A whole run, from the start of the cell to its stop. Throws
// std::runtime_error when the cell doesn't become ready.
history run_cell(driver& context);

} // namespace fescuevane::prove

#endif

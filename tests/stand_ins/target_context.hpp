// Purpose: the context of one target and its tick. No I/O, clock or threads.
//
// Index of sections
//   1. Context
//   2. Input
//   3. Ticks
//   4. Systems
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_CONTEXT_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_CONTEXT_HPP

#include "core/instant.hpp"
#include "tests/stand_ins/ended_table.hpp"
#include "tests/stand_ins/history_entry.hpp"
#include "tests/stand_ins/host.hpp"
#include "tests/stand_ins/owner_batch.hpp"
#include "tests/stand_ins/running_table.hpp"
#include "tests/stand_ins/target_counters.hpp"
#include "tests/stand_ins/target_report.hpp"
#include "tests/stand_ins/target_switches.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace fescuevane::stand_ins
{

// 1. Context
struct target_context
{
    // Settings
    host const         host_;
    std::int64_t const usage_lag_micros_ = 1'000'000; // between usage reports

    // Input
    std::vector<owner_batch> inbox_;
    column<target_switches>  switches_ = make_switches(); // one cell
    instant                  now_;

    // Attachment
    std::uint64_t incarnation_ = 1; // new at each start
    epoch         epoch_ = 0;       // highest seen, kept over crashes
    std::string   shard_;
    std::uint64_t stream_ = 0;     // that the owner speaks on; 0: none
    std::uint64_t attached_ = 0;   // latest stream that attached
    bool          owes_ = false;   // a report is due though nothing changed
    std::uint64_t attachment_ = 0; // highest of the epoch, kept over crashes
    instant       echo_;           // highest accepted
    instant       lease_deadline_ = instant::never();
    instant       usage_deadline_ = instant::never();

    // Tables
    running_table                running_;
    ended_table                  ended_;
    std::unordered_set<task_key> seen_;    // started or rejected
    std::unordered_set<task_key> stopped_; // stopped before a start

    // Output
    std::vector<status_entry>  changes_; // for the next report
    std::vector<target_report> reports_;
    std::vector<std::uint64_t> dropped_; // streams to close
    std::vector<history_entry> history_;
    target_counters            counters_;

    static column<target_switches> make_switches()
    {
        column<target_switches> cell;
        cell.append({});
        return cell;
    }
};

// 2. Input
void post_batch(target_context& context, owner_batch const& batch);
void close_stream(target_context& context, std::uint64_t stream);
void set_switches(target_context& context, target_switches const& value);
void crash_target(target_context& context, instant now);
void drop_streams(target_context& context);

// 3. Ticks
void    run_tick(target_context& context, instant now);
instant next_deadline(target_context const& context);

// 4. Systems, in order
void expire_lease(target_context& context); // all tasks end with the lease
void end_tasks(target_context& context);    // tasks whose time is over
void apply_batches(target_context& context);
void report_usage(target_context& context);
void emit_reports(target_context& context); // changes to the owner's stream

// Helpers of the systems

// Reports stay well below the limit of a message.
constexpr std::size_t report_body_bytes = 8 * 1024 * 1024;
std::size_t           count_body(status_entry const& entry); // of an end

void note_history(target_context& context, std::string const& event,
                  decide::start_task const* task = nullptr,
                  std::string const&        reason = {},
                  std::string const&        outcome = {});
void end_task(target_context& context, std::size_t row, outcome result,
              std::string const& reason, bool checkpointed = false);

} // namespace fescuevane::stand_ins

#endif

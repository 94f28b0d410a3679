// Purpose: table of the targets of a shard, one row a target.
#ifndef FESCUEVANE_DECIDE_TARGET_TABLE_HPP
#define FESCUEVANE_DECIDE_TARGET_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "core/task_key.hpp"
#include "decide/capacity_tree.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuevane::decide
{

struct target_joined;

struct target_table
{
    row_index<target_id>          index_;
    column<rack_id>               rack_;
    column<resources>             capacity_;
    column<resources>             free_;       // capacity less reservations
    column<std::int64_t>          slots_;      // tasks at once, at most
    column<std::int64_t>          free_slots_; //
    column<std::uint8_t>          reached_;    // 1: reached under this epoch
    column<std::uint8_t>          seen_;       // 1: reached at least once
    column<std::uint8_t>          leaving_;    // 1: gets no new work
    column<std::uint8_t>          idle_;       // 1: unreached, runs nothing
    column<std::uint8_t>          held_;       // 1: for the reserving gang
    column<resources>             charged_;    // unproven, while unreached
    column<instant>               lapse_deadline_;     // while unreached
    column<instant>               probation_deadline_; // no work before
    column<std::uint32_t>         failures_;           // in a row
    column<job_key>               failed_job_;         // last counted
    column<std::vector<task_key>> tasks_;              // reserved here

    capacity_tree rooms_;         // free capacity of rows that take work
    capacity_tree capacities_;    // capacity of rows that may take work later
    resources     total_;         // capacity of reached targets
    resources     total_used_;    // reserved on all targets
    resources     total_charged_; //
    std::size_t   unreached_ = 0; // rows that aren't reached
    std::size_t   unknown_ = 0;   // of these, rows that may run tasks
    std::size_t   on_probation_ = 0;
};

// Appends an idle, unreached target; its id must have no row.
std::size_t append_target(target_table& table, target_id const& target);
void        remove_target(target_table& table, std::size_t row);

// Applies the description of a reached target.
void reach_target(target_table& table, std::size_t row,
                  target_joined const& joined);

// Marks a target as unreached; it charges what is not reserved of the larger
// of `capacity` and its known capacity, unless it is idle.
void unreach_target(target_table& table, std::size_t row,
                    resources const& capacity, instant lapse_deadline,
                    bool idle);

// Takes and returns one slot and `amount` of a target's capacity.
void reserve_on_target(target_table& table, std::size_t row,
                       resources const& amount);
void release_on_target(target_table& table, std::size_t row,
                       resources const& amount);

// Changes the amount of one reservation.
void change_reservation(target_table& table, std::size_t row,
                        resources const& before, resources const& after);

// Brings the index of free capacity up to date with a row.
void update_room(target_table& table, std::size_t row);

// True when the target may take new work, unless it is held for a gang.
bool takes_work(target_table const& table, std::size_t row);

} // namespace fescuevane::decide

#endif

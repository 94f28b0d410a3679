// Purpose: the node, all state of an entry process and the systems that run
// over it. The process posts what arrives, runs ticks and carries out the
// commands. No I/O, clock or threads.
//
// Index of sections
//   1. Context
//   2. Input and output
//   3. Ticks
//   4. Queries
#ifndef FESCUEVANE_ENTRY_NODE_HPP
#define FESCUEVANE_ENTRY_NODE_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "entry/command.hpp"
#include "entry/counter.hpp"
#include "entry/event.hpp"
#include "entry/settings.hpp"

#include <memory>
#include <vector>

namespace fescuevane::state
{
struct control;
} // namespace fescuevane::state

namespace fescuevane::entry
{

// 1. Context
struct node;          // all tables, see node_tables.hpp
struct shard_status;  //
struct target_status; //
struct limit_status;  //

struct node_deleter
{
    void operator()(node* context) const;
};
using node_ptr = std::unique_ptr<node, node_deleter>;

node_ptr make_node(settings const& values, instant now);

// 2. Input and output
void post_event(node& context, event input); // applied by the next tick

// 3. Ticks
void    run_tick(node& context, instant now, std::vector<command>& output);
instant next_deadline(node const& context); // next tick without events

// 4. Queries
state::control const&      control_of(node const& context); // configuration
std::vector<shard_status>  list_shards(node const& context);
std::vector<target_status> list_targets(node const& context);
std::vector<limit_status>  list_limits(node const& context);
counter_values const&      read_counters(node const& context);
bool is_ready(node const& context);    // takes calls: configured, not stopping
bool has_stopped(node const& context); // graceful stop is complete

} // namespace fescuevane::entry

#endif

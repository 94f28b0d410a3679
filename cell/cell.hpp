// Purpose: interface of a node, one process of a cell on leased targets:
// membership, ownership of shards, the journal of jobs, leases and calls. The
// caller owns a `node`, posts events, runs ticks and executes the commands. A
// node does no I/O, reads no clock and starts no threads.
//
// Index of sections
//   1. Context
//   2. Input and output
//   3. Ticks
//   4. Queries
#ifndef FESCUEVANE_CELL_CELL_HPP
#define FESCUEVANE_CELL_CELL_HPP

#include "cell/command.hpp"
#include "cell/event.hpp"
#include "cell/heartbeat.hpp"
#include "cell/settings.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

class tick_observer;

// 1. Context
struct node; // all tables of one process, see node.hpp

// Deleter that keeps `node` an incomplete type for callers.
struct node_deleter
{
    void operator()(node* context) const;
};
using node_ptr = std::unique_ptr<node, node_deleter>;

node_ptr make_node(settings const& values, instant now);

// 2. Input and output
void post_event(node& context, event input); // applied by the next tick

// 3. Ticks
// Appends the commands in the order in which they have to be executed. `now` is
// monotonic; `unix_ms` is the time of day, for timed jobs. The observer may be
// null.
void run_tick(node& context, instant now, std::int64_t unix_ms,
              std::vector<command>& output, tick_observer* observer = nullptr);
instant
next_deadline(node const& context); // of the next tick if no event comes

// 4. Queries
// The route of a call. Null without a configuration or for unknown paths.
queue_route const* find_route(node const& context, std::string const& host,
                              std::string const& path);
// The organisation of an API key, nothing for unknown keys.
std::optional<organisation_id> find_organisation(node const&        context,
                                                 std::string const& key);
bool                           has_config(node const& context);
bool                           is_ready(node const& context); // accepts calls
bool                           owns_shards(node const& context);
bool is_stopped(node const& context); // all shards are handed over
// For the log: the number of remaining shards, and of those that wait for each
// condition of a release.
std::vector<std::pair<std::string, std::string>>
              describe_stop(node const& context);
std::uint64_t config_version(node const& context);
// Limit of an organisation in all shards, 0: unlimited or not configured.
resources     limit_of(node const& context, organisation_id const& id);
std::uint32_t max_body_bytes(node const& context);

// False when a row of the store can't hold the job and its progress: its stored
// specification takes more than `max_spec_bytes`, in bytes.
bool        fits_in_row(node const& context, staged_job const& job);
std::size_t max_spec_bytes(node const& context, staged_job const& job);

std::uint32_t count_waiting(node const& context, queue_id const& queue);
heartbeat     make_heartbeat(node const& context); // for other hosts
// False while an outdated list of targets is enough. When it becomes true, the
// list has to be brought up to date and reported as complete.
bool needs_targets(node const& context);

} // namespace fescuevane::cell

#endif

// Purpose: control state of one entry process: shard ownership, tickets,
// allotments and the journal. The caller owns a `control`, posts events, runs
// ticks and carries out the commands. No I/O, clock or threads.
//
// Index of sections
//   1. Context
//   2. Input and output
//   3. Ticks
//   4. Queries
//   5. Configuration
#ifndef FESCUEVANE_STATE_STATE_HPP
#define FESCUEVANE_STATE_STATE_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "state/command.hpp"
#include "state/event.hpp"
#include "state/settings.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuevane::state
{

// 1. Context
struct control;     // all tables, see control.hpp
struct shard_owner; // who owns a shard
struct config;

struct control_deleter
{
    void operator()(control* context) const;
};
using control_ptr = std::unique_ptr<control, control_deleter>;

control_ptr make_control(settings const& values, instant now);

// 2. Input and output
void post_event(control& context, event input); // applied by the next tick

// 3. Ticks
void    run_tick(control& context, instant now, std::vector<command>& output);
instant next_deadline(control const& context); // next tick without events

// 4. Queries
std::optional<shard_owner>    find_owner(control const&  context,
                                         shard_id const& shard);
std::vector<shard_owner>      list_owners(control const& context);
std::shared_ptr<config const> effective_config(control const& context);
std::shared_ptr<config const> accepted_config(control const& context);
ticket_number                 committed_number(control const& context);
std::optional<std::string>    find_ticket(control const& context,
                                          ticket_number  number); // JSON
std::vector<domain_id>        list_missing_domains(control const& context,
                                                   ticket_number  number);
std::string write_snapshot(control const& context);   // for `state_received`
bool        has_released_all(control const& context); // after `stop_requested`

// 5. Configuration
// Thrown for a ticket that is malformed or out of bounds; `what()` names the
// place and what was expected.
class ticket_error;

// As stored in team_config: 128 bits of xxHash, in hexadecimal. It isn't a
// cryptographic hash: whoever reads the rows can test guessed keys at full
// speed, so keys must be long random strings (32 characters or more).
std::string hash_key(std::string_view key);

// The ticket's number must be that of `base` plus 1. An entry replaces the
// whole state of its team, failure domain or service; left out are: "keys", no
// key; "share", 1; "limit", no limit; "on_cut_off", "serve"; "open", false;
// "teams" of a service, all teams. Throws `ticket_error`.
config apply_ticket(config const& base, std::string_view text);

// Restrictions of `committed` over `accepted`: what either of them forbids.
config      restrict_config(config const& accepted, config const& committed);
std::string write_config(config const& value); // JSON, key hashes for keys

// True when `key` admits work of `team` to `service`. Open services need no
// key; a service that isn't configured takes no work.
bool accepts_key(config const& value, team_id const& team,
                 service_id const& service, std::string_view key);

} // namespace fescuevane::state

#endif

// Purpose: keys of the rows in the platform's tables. Internal to the package.
//
// All rows that every process reads start with `control/`, so that one read of
// changes serves them all.
#ifndef FESCUEVANE_STATE_ROW_KEY_HPP
#define FESCUEVANE_STATE_ROW_KEY_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fescuevane
{
struct job_key;
}

namespace fescuevane::state
{

constexpr std::string_view control_prefix = "control/";
constexpr std::string_view shard_prefix = "control/shard/";
constexpr std::string_view ack_prefix = "control/ack/";
constexpr std::string_view ticket_prefix = "control/ticket/";
constexpr std::string_view allotment_prefix = "control/allotment/";
constexpr std::string_view host_prefix = "control/host/";
constexpr std::string_view head_key = "control/head";
constexpr std::string_view accepted_key = "control/accepted";

std::string format_shard_key(shard_id const& shard);      // control/shard/...
std::string format_ack_key(shard_id const& shard);        // control/ack/...
std::string format_ticket_key(ticket_number number);      // control/ticket/<n>
std::string format_allotment_key(team_id const& team);    // control/allotment/
std::string format_host_key(host_id const& host);         // control/host/<id>
std::string format_journal_prefix(shard_id const& shard); // job/<domain>/<i>/
std::string format_grant_key(shard_id const& shard);      // job/<d>/<i>/targets
std::string format_job_key(shard_id const& shard, job_key const& job);

// The part of a key after its prefix.
std::optional<shard_id>      parse_shard_suffix(std::string_view suffix);
std::optional<ticket_number> parse_number(std::string_view text);

} // namespace fescuevane::state

#endif

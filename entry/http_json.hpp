// Purpose: codecs between the values of a front end and the JSON of the HTTP
// API. Parsers throw http_error with status 400 that names the place.
//
// Index of sections
//   1. Parsers
//   2. Writers
#ifndef FESCUEVANE_ENTRY_HTTP_JSON_HPP
#define FESCUEVANE_ENTRY_HTTP_JSON_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuevane
{
struct job_result;
} // namespace fescuevane

namespace fescuevane::state
{
struct config;
struct ticket_progress;
} // namespace fescuevane::state

namespace fescuevane::entry
{

struct http_reply;
struct http_submission;
struct limit_status;
struct shard_status;
struct target_status;

// Longest time that a call may stay open for a final state, in microseconds.
constexpr std::int64_t max_wait_micros = 600 * micros_per_second;

// 1. Parsers
http_submission     parse_job(std::string_view text, team_id const& team,
                              std::string const& traceparent, instant now);
std::vector<job_id> parse_ids(std::string_view text);
void                check_ticket_syntax(std::string_view text); // JSON object
void check_id(std::string_view text, std::string const& place); // of a caller

// 2. Writers
http_reply  write_job(job_result const& result, host_id const& entry);
http_reply  write_ticket_progress(state::ticket_progress const& progress);
http_reply  write_error(unsigned status, std::string_view message);
std::string write_accepted(std::uint64_t accepted); // of a bulk cancellation
std::string write_info(host_id const& host, domain_id const& domain);
std::string write_teams(state::config const* value); // null: none
std::string write_targets(std::vector<target_status> const& targets);
std::string write_shards(std::vector<shard_status> const& shards);
std::string write_limits(std::vector<limit_status> const& limits);
std::string write_config_state(ticket_number accepted, ticket_number committed,
                               std::string_view config);
std::string write_diff(std::string_view before, std::string_view after);

// A ticket as filed, with the stable hash of each key in place of the key.
std::string
write_ticket(std::string_view ticket, ticket_number accepted,
             std::vector<domain_id> const&                       missing,
             std::function<std::string(std::string_view)> const& hash_key);

} // namespace fescuevane::entry

#endif

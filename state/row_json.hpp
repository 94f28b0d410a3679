// Purpose: values of the platform's rows as JSON. Internal to the package. The
// readers throw `nlohmann::json::exception` for malformed text and `row_error`
// for numbers out of range.
#ifndef FESCUEVANE_STATE_ROW_JSON_HPP
#define FESCUEVANE_STATE_ROW_JSON_HPP

#include "core/instant.hpp"
#include "state/allotment_table.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::state
{

struct ack_value;
struct grant_record;
struct granted_target;
struct job_record;
struct owner_value;
struct shard_owner;

std::string write_owner(owner_value const& value);
owner_value read_owner(std::string const& text);

std::string write_ack(ack_value const& value);
ack_value   read_ack(std::string const& text);

// `ticket` is the committed number that the writer knows.
std::string write_parts(part_map const& parts, std::uint64_t ticket);
part_map    read_parts(std::string const& text);

// Never throws: what can't be read makes the record incomplete, and an odd
// entry costs only itself.
std::string  write_grants(std::vector<granted_target> const& targets);
grant_record read_grants(std::string const& text);

// Deadlines are written as the time that remains at `now`.
std::string write_job(job_record const& record, instant now);
job_record  read_job(shard_id const& shard, std::string const& text,
                     instant now);

} // namespace fescuevane::state

#endif

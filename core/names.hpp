// Purpose: text forms of enumerators and compound keys, used by the HTTP API,
// logs and row keys.
#ifndef FESCUEVANE_CORE_NAMES_HPP
#define FESCUEVANE_CORE_NAMES_HPP

#include "core/shard_id.hpp"
#include "core/work_kind.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fescuevane
{

struct job_key;
struct task_key;

std::string_view format_name(work_kind kind);       // "request", ...
std::string_view format_name(job_state state);      // "queued", ...
std::string_view format_name(outcome result);       // "succeeded", ...
std::string      format_key(shard_id const& shard); // "<domain>.<index>"
std::string      format_key(job_key const& job);    // "<team>/<job>"
std::string      format_key(task_key const& task); // "<team>/<job>#<index>.<n>"

// The inverse of `format_name` and `format_key`; no value for other text.
std::optional<work_kind> parse_work_kind(std::string_view text);
std::optional<job_state> parse_job_state(std::string_view text);
std::optional<outcome>   parse_outcome(std::string_view text);
std::optional<shard_id>  parse_shard_id(std::string_view text);

} // namespace fescuevane

#endif

// Purpose: what a front end reads back from the node and the control state.
#ifndef FESCUEVANE_ENTRY_FRONT_QUERIES_HPP
#define FESCUEVANE_ENTRY_FRONT_QUERIES_HPP

#include "core/ids.hpp"
#include "entry/counter.hpp"
#include "entry/limit_status.hpp"
#include "entry/shard_status.hpp"
#include "entry/target_status.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuevane::state
{
struct config;
} // namespace fescuevane::state

namespace fescuevane::entry
{

// Every function is set and is called on the thread of the front end.
// `apply_ticket_` throws state::ticket_error.
struct front_queries
{
    std::function<bool()>                                 is_ready_;
    std::function<ticket_number()>                        accepted_number_;
    std::function<ticket_number()>                        committed_number_;
    std::function<std::shared_ptr<state::config const>()> effective_config_;
    std::function<std::string()> write_config_; // effective one, JSON
    std::function<std::string(std::string_view)>
        apply_ticket_; // config after a ticket, JSON
    std::function<std::optional<std::string>(ticket_number)> find_ticket_;
    std::function<std::vector<domain_id>(ticket_number)> list_missing_domains_;
    std::function<std::string(std::string_view)>         hash_key_;
    std::function<std::vector<shard_status>()>           list_shards_;
    std::function<std::vector<target_status>()>          list_targets_;
    std::function<std::vector<limit_status>()>           list_limits_;
    std::function<counter_values()>                      read_counters_;
};

} // namespace fescuevane::entry

#endif

// Purpose: rows of the team table.
#include "decide/team_table.hpp"

namespace fescuevane::decide
{

std::size_t find_or_append_team(team_table& table, team_id const& team)
{
    if (auto const row = table.index_.find(team))
    {
        return *row;
    }
    table.configured_.append(0);
    table.share_.append(1);
    table.allotment_.append(std::nullopt);
    table.used_.append(resources());
    table.stopping_.append(resources());
    table.waiting_.append(resources());
    table.queued_.append(0);
    table.running_count_.append(0);
    table.usage_.append(0.0);
    table.run_micros_.append(0.0);
    table.blocked_.append(0);
    table.queues_.append(team_queues());
    table.running_.append(team_running());
    return table.index_.append(team);
}

} // namespace fescuevane::decide

// Purpose: rows of the table of refused calls.
#include "entry/refusal_table.hpp"

namespace fescuevane::entry
{

void append_refusal(refusal_table& table, watcher const& from,
                    job_key const& job, answer_kind kind, instant keep)
{
    refusal_table::call_key const key{from, job};
    if (table.kinds_.emplace(key, kind).second)
    {
        table.by_deadline_.emplace_back(keep, key);
    }
}

void expire_refusals(refusal_table& table, instant now)
{
    while (!table.by_deadline_.empty() &&
           table.by_deadline_.front().first <= now)
    {
        table.kinds_.erase(table.by_deadline_.front().second);
        table.by_deadline_.pop_front();
    }
}

std::optional<answer_kind> find_refusal(refusal_table const& table,
                                        watcher const& from, job_key const& job)
{
    auto const found = table.kinds_.find({from, job});
    if (found == table.kinds_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace fescuevane::entry

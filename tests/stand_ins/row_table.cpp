// Purpose: commits and reads of the platform's table.
#include "tests/stand_ins/row_table.hpp"

#include <vector>

namespace fescuevane::stand_ins
{
namespace
{

revision find_revision(row_table const& table, std::string const& key)
{
    auto const found = table.index_.find(key);
    if (found == table.index_.end() || table.row_[found->second].deleted_)
    {
        return 0;
    }
    return table.row_[found->second].revision_;
}

std::vector<std::string> list_conflicts(row_table const&          table,
                                        state::commit_rows const& commit)
{
    std::vector<std::string> keys;
    for (state::row_condition const& condition : commit.conditions_)
    {
        if (find_revision(table, condition.key_) != condition.revision_)
        {
            keys.push_back(condition.key_);
        }
    }
    return keys;
}

void write_row(row_table& table, state::row_write const& write)
{
    state::table_row const row{write.key_, write.remove_ ? "" : write.value_,
                               table.revision_, write.remove_};
    auto const [found, is_new] =
        table.index_.try_emplace(write.key_, table.row_.size());
    if (is_new)
    {
        table.row_.append(row);
    }
    else
    {
        table.changes_.erase({table.row_[found->second].revision_, write.key_});
        table.row_.replace(found->second, row);
    }
    table.changes_.emplace(table.revision_, write.key_);
}

bool has_prefix(std::string const& key, std::string const& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

std::vector<state::table_row> list_present(row_table const&   table,
                                           std::string const& prefix)
{
    std::vector<state::table_row> rows;
    for (auto each = table.index_.lower_bound(prefix);
         each != table.index_.end() && has_prefix(each->first, prefix); ++each)
    {
        if (!table.row_[each->second].deleted_)
        {
            rows.push_back(table.row_[each->second]);
        }
    }
    return rows;
}

std::vector<state::table_row> list_changes(row_table const&        table,
                                           state::read_rows const& read)
{
    std::vector<state::table_row> rows;
    for (auto each = table.changes_.lower_bound({read.after_ + 1, ""});
         each != table.changes_.end(); ++each)
    {
        if (has_prefix(each->second, read.prefix_))
        {
            rows.push_back(table.row_[table.index_.at(each->second)]);
        }
    }
    return rows;
}

} // namespace

state::commit_ended apply_commit(row_table&                table,
                                 state::commit_rows const& commit)
{
    auto const known = table.commits_.find(commit.commit_id_);
    if (known != table.commits_.end())
    {
        return known->second;
    }
    std::vector<std::string> conflicts = list_conflicts(table, commit);
    bool const               applied = conflicts.empty();
    if (applied)
    {
        ++table.revision_;
        for (state::row_write const& write : commit.writes_)
        {
            write_row(table, write);
        }
    }
    state::commit_ended result{.applied_ = applied,
                               .revision_ = applied ? table.revision_ : 0,
                               .conflicting_keys_ = std::move(conflicts)};
    table.commits_.emplace(commit.commit_id_, result);
    return result;
}

bool is_known_commit(row_table const& table, std::string const& commit_id)
{
    return table.commits_.contains(commit_id);
}

state::rows_read list_rows(row_table const& table, state::read_rows const& read)
{
    return {.rows_ = read.after_ == 0 ? list_present(table, read.prefix_)
                                      : list_changes(table, read),
            .revision_ = table.revision_};
}

} // namespace fescuevane::stand_ins

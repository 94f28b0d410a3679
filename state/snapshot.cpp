// Purpose: the state that a process passes on to one that can't read the
// store: the rows of accepted configuration, later tickets, shards and hosts.
#include "state/control.hpp"
#include "state/row_key.hpp"
#include "state/table_row.hpp"

#include <nlohmann/json.hpp>

namespace fescuevane::state
{
namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 5> passed_prefixes = {
    accepted_key, head_key, ticket_prefix, shard_prefix, host_prefix};

bool is_passed_on(control const& context, std::size_t row)
{
    std::string_view const key = context.rows_.index_.key(row);
    bool const             known =
        std::any_of(passed_prefixes.begin(), passed_prefixes.end(),
                    [key](std::string_view prefix)
                    {
                        return key.starts_with(prefix);
                    });
    if (!known || context.rows_.present_[row] == 0)
    {
        return false;
    }
    if (!key.starts_with(ticket_prefix))
    {
        return true;
    }
    auto const number = parse_number(key.substr(ticket_prefix.size()));
    return number && *number > context.accepted_->number_;
}

} // namespace

std::string write_snapshot(control const& context)
{
    json rows = json::array();
    for (std::size_t row = 0; row < context.rows_.index_.size(); ++row)
    {
        if (is_passed_on(context, row))
        {
            rows.push_back({{"key", context.rows_.index_.key(row)},
                            {"value", context.rows_.value_[row]},
                            {"revision", context.rows_.revision_[row]}});
        }
    }
    return json{{"rows", std::move(rows)}}.dump();
}

void merge_snapshot(control& context, std::string const& snapshot)
{
    json const value = json::parse(snapshot, nullptr, false);
    if (!value.is_object() || !value.contains("rows"))
    {
        ++context.malformed_rows_;
        return;
    }
    for (json const& row : value.at("rows"))
    {
        try
        {
            merge_row(context,
                      {.key_ = row.at("key").get<std::string>(),
                       .value_ = row.at("value").get<std::string>(),
                       .revision_ = row.at("revision").get<revision>()});
        }
        catch (json::exception const&)
        {
            ++context.malformed_rows_;
        }
    }
}

} // namespace fescuevane::state

// Purpose: rows of the store stand-in, in memory.
//
// Index of sections
//   1. Transactions
//   2. Reads
//   3. Feeds
//   4. Changes of the operator
#include "tests/soak/row_store.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_rows = 500; // of an answer
constexpr std::size_t max_changes = 20'000;

row_place read_place(json const& row)
{
    return {row.at("table").get<std::string>(), row.value("part", ""),
            row.at("key").get<std::string>()};
}

json write_row(row_place const& place, row_cell const& cell)
{
    return {{"table", place.table_},
            {"part", place.part_},
            {"key", place.key_},
            {"value", cell.value_},
            {"ver", cell.version_}};
}

json write_answer(row_store const& store, json rows)
{
    constexpr gint64 micros_per_milli = 1000;
    return {{"rows", std::move(rows)},
            {"ver", store.version_},
            {"nowMs", g_get_monotonic_time() / micros_per_milli}};
}

void record(row_store& store, row_place const& place,
            std::optional<std::string> const& value)
{
    store.changes_.push_back({place, store.version_, value});
    if (store.changes_.size() > max_changes)
    {
        store.dropped_through_ = store.changes_.front().version_;
        store.changes_.pop_front();
    }
}

void write(row_store& store, row_place const& place, std::string const& value)
{
    store.rows_[place] = {value, store.version_};
    record(store, place, value);
}

void erase(row_store& store, row_place const& place)
{
    if (store.rows_.erase(place) > 0)
    {
        record(store, place, std::nullopt);
    }
}

bool is_operators(json const& row)
{
    std::string const table = row.at("table").get<std::string>();
    return table == "op" || table == "servers";
}

} // namespace

// 1. Transactions

std::string find_part(json const& body)
{
    for (char const* const list : {"expectedRev", "writes", "remove"})
    {
        if (body.contains(list) && !body.at(list).empty())
        {
            return body.at(list).front().value("part", "");
        }
    }
    return "";
}

answer apply_transaction(row_store& store, json const& body)
{
    static json const empty = json::array();
    auto const        list = [&body](char const* name) -> json const&
    {
        return body.contains(name) ? body.at(name) : empty;
    };
    std::string const part = find_part(body);
    for (char const* const name : {"expectedRev", "writes", "remove"})
    {
        for (json const& row : list(name))
        {
            if (row.value("part", "") != part)
            {
                return {400, {{"error", "entries of several parts"}}};
            }
        }
    }
    bool const forbidden = std::any_of(list("writes").begin(),
                                       list("writes").end(), &is_operators) ||
                           std::any_of(list("remove").begin(),
                                       list("remove").end(), &is_operators);
    if (forbidden)
    {
        return {403, {{"error", "a table of the platform"}}};
    }
    bool holds = true;
    json current = json::array();
    for (json const& condition : list("expectedRev"))
    {
        row_place const place = read_place(condition);
        auto const      found = store.rows_.find(place);
        bool const      exists = found != store.rows_.end();
        holds = holds && condition.at("ver").get<std::int64_t>() ==
                             (exists ? found->second.version_ : 0);
        if (exists)
        {
            current.push_back(write_row(place, found->second));
        }
    }
    if (!holds)
    {
        return {412, write_answer(store, std::move(current))};
    }
    ++store.version_;
    for (json const& row : list("writes"))
    {
        write(store, read_place(row), row.at("value").get<std::string>());
    }
    for (json const& row : list("remove"))
    {
        erase(store, read_place(row));
    }
    return {200, write_answer(store, json::array())};
}

// 2. Reads

answer read_rows(row_store const&                          store,
                 std::map<std::string, std::string> const& query)
{
    auto const text = [&query](char const* name)
    {
        auto const found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    std::string const table = text("table");
    std::string const part = text("part");
    std::string const end = text("target"); // the range excludes it
    json              rows = json::array();
    bool              truncated = false;
    for (auto row = store.rows_.lower_bound({table, part, text("from")});
         row != store.rows_.end() && row->first.table_ == table &&
         row->first.part_ == part && (end.empty() || row->first.key_ < end);
         ++row)
    {
        if (rows.size() == max_rows)
        {
            truncated = true;
            break;
        }
        rows.push_back(write_row(row->first, row->second));
    }
    json body = write_answer(store, std::move(rows));
    body["truncated"] = truncated;
    return {200, std::move(body)};
}

// 3. Feeds

std::optional<answer> read_changes(row_store const&   store,
                                   std::string const& table, std::int64_t after)
{
    if (after < store.dropped_through_)
    {
        return answer{410, {{"error", "history dropped"}}};
    }
    auto const first =
        std::partition_point(store.changes_.begin(), store.changes_.end(),
                             [after](row_change const& change)
                             {
                                 return change.version_ <= after;
                             });
    json         rows = json::array();
    std::int64_t through = store.version_;
    for (auto change = first; change != store.changes_.end(); ++change)
    {
        if (change->place_.table_ != table)
        {
            continue;
        }
        // All rows of one transaction come in the same answer.
        if (rows.size() >= max_rows && change->version_ > through)
        {
            break;
        }
        json row{{"table", change->place_.table_},
                 {"part", change->place_.part_},
                 {"key", change->place_.key_},
                 {"ver", change->version_}};
        if (change->value_)
        {
            row["value"] = *change->value_;
        }
        else
        {
            row["tombstone"] = true;
        }
        rows.push_back(std::move(row));
        if (rows.size() == max_rows)
        {
            through = change->version_;
        }
    }
    if (rows.empty())
    {
        return std::nullopt;
    }
    json body = write_answer(store, std::move(rows));
    body["ver"] = through;
    return answer{200, std::move(body)};
}

// 4. Changes of the operator

void put_row(row_store& store, row_place const& place, std::string const& text)
{
    gchar* const value = g_base64_encode(
        reinterpret_cast<guchar const*>(text.data()), text.size());
    ++store.version_;
    write(store, place, value);
    g_free(value);
}

void remove_row(row_store& store, row_place const& place)
{
    ++store.version_;
    erase(store, place);
}

void drop_history(row_store& store)
{
    store.dropped_through_ = store.version_;
    store.changes_.clear();
}

} // namespace fescuevane::soak

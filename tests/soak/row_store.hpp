// Purpose: rows of the store stand-in, in memory.
#ifndef FESCUEVANE_TESTS_SOAK_ROW_STORE_HPP
#define FESCUEVANE_TESTS_SOAK_ROW_STORE_HPP

#include "tests/soak/row_change.hpp"

#include <nlohmann/json_fwd.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace fescuevane::soak
{

struct row_cell
{
    std::string  value_; // base64
    std::int64_t version_ = 0;
};

struct row_store
{
    std::map<row_place, row_cell> rows_;
    std::deque<row_change>        changes_;
    std::int64_t                  version_ = 0;
    std::int64_t                  dropped_through_ = 0; // versions
};

using answer = std::pair<unsigned, nlohmann::json>; // status and body

// A call of `rows-tx`: 200, or 412 with the rows of the conditions. Throws
// nlohmann::json::exception for a malformed body.
answer apply_transaction(row_store& store, nlohmann::json const& body);
answer read_rows(row_store const&                          store,
                 std::map<std::string, std::string> const& query);

// None when nothing has changed; 410 when the history is gone.
std::optional<answer> read_changes(row_store const&   store,
                                   std::string const& table,
                                   std::int64_t       after);

// The part of a transaction, which all its entries share.
std::string find_part(nlohmann::json const& body);

// Changes of the operator and of targets, one transaction each.
void put_row(row_store& store, row_place const& place, std::string const& text);
void remove_row(row_store& store, row_place const& place);
void drop_history(row_store& store);

} // namespace fescuevane::soak

#endif

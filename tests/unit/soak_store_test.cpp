// Purpose: tests of the rows of the store stand-in.
#include "tests/soak/row_store.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

class row_store_fixture
{
protected:
    static json make_row(char const* key)
    {
        return {{"table", "job"}, {"part", "1"}, {"key", key}};
    }

    static json make_write(char const* key)
    {
        json row = make_row(key);
        row["value"] = "dGV4dA==";
        return row;
    }

    static json make_condition(char const* key, std::int64_t version)
    {
        json row = make_row(key);
        row["ver"] = version;
        return row;
    }

    row_store store_;
};

TEST_CASE_FIXTURE(row_store_fixture,
                  "transaction, a condition that fails, changes nothing")
{
    apply_transaction(store_, {{"writes", {make_write("a")}}});
    auto const result =
        apply_transaction(store_, {{"expectedRev", {make_condition("a", 0)}},
                                   {"writes", {make_write("b")}},
                                   {"remove", {make_row("a")}}});
    CHECK(result.first == 412);
    CHECK(result.second.at("rows").at(0).at("ver") == 1);
    CHECK(store_.rows_.size() == 1);
    CHECK(store_.version_ == 1);
}

TEST_CASE_FIXTURE(row_store_fixture,
                  "transaction, a table of the platform, is turned down")
{
    json row = make_write("a");
    row["table"] = "servers";
    CHECK(apply_transaction(store_, {{"writes", {row}}}).first == 403);
}

TEST_CASE_FIXTURE(row_store_fixture, "read, a range, excludes its end")
{
    apply_transaction(
        store_,
        {{"writes", {make_write("a"), make_write("b"), make_write("c")}}});
    auto const result = read_rows(
        store_,
        {{"table", "job"}, {"part", "1"}, {"from", "a"}, {"target", "c"}});
    CHECK(result.second.at("rows").size() == 2);
    CHECK(result.second.at("truncated") == false);
}

TEST_CASE_FIXTURE(row_store_fixture,
                  "feed, a removed row, shows a tombstone at its place")
{
    apply_transaction(store_, {{"writes", {make_write("a")}}});
    apply_transaction(store_, {{"remove", {make_row("a")}}});
    auto const result = read_changes(store_, "job", 0);
    REQUIRE(result);
    CHECK(result->second.at("rows").size() == 2);
    CHECK(result->second.at("rows").at(1).at("tombstone") == true);
    CHECK(!read_changes(store_, "job", 2));
}

TEST_CASE_FIXTURE(row_store_fixture, "feed, a dropped history, answers 410")
{
    apply_transaction(store_, {{"writes", {make_write("a")}}});
    drop_history(store_);
    CHECK(read_changes(store_, "job", 0)->first == 410);
    CHECK(!read_changes(store_, "job", 1));
}

} // namespace
} // namespace fescuevane::soak

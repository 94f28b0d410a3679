// Purpose: tests of the platform stand-in's tables.
#include "tests/stand_ins/platform_context.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace fescuevane::stand_ins
{
namespace
{

struct platform_fixture
{
    platform_context platform_;
    instant const    start_ = instant(1'000'000);

    state::commit_ended write(std::string const& id, std::string const& key,
                              std::string const& value, revision expected)
    {
        return apply_commit(platform_.rows_, {.commit_id_ = id,
                                              .conditions_ = {{key, expected}},
                                              .writes_ = {{key, value}}});
    }

    state::commit_ended remove(std::string const& id, std::string const& key)
    {
        return apply_commit(platform_.rows_,
                            {.commit_id_ = id, .writes_ = {{key, "", true}}});
    }

    std::vector<std::string> list_keys(std::string const& prefix,
                                       revision           after) const
    {
        std::vector<std::string> keys;
        auto const               read =
            list_rows(platform_.rows_, {.prefix_ = prefix, .after_ = after});
        for (state::table_row const& row : read.rows_)
        {
            keys.push_back(row.key_ + (row.deleted_ ? " deleted" : ""));
        }
        return keys;
    }

    static host make_host(std::string const& name)
    {
        return {.target_ = target_id(name), .slots_ = 8};
    }
};

using keys = std::vector<std::string>;

// Guards against two owners that both win a compare-and-set.
TEST_CASE_FIXTURE(platform_fixture,
                  "row_table, stale condition, conflicts and writes nothing")
{
    CHECK(write("c1", "head", "1", 0).applied_);
    auto const second = write("c2", "head", "2", 0);
    CHECK_FALSE(second.applied_);
    CHECK(second.conflicting_keys_ == keys{"head"});
    auto const rows = list_rows(platform_.rows_, {.prefix_ = "head"});
    REQUIRE(rows.rows_.size() == 1);
    CHECK(rows.rows_[0].value_ == "1");
    CHECK(rows.revision_ == 1);
}

// Guards against a partial transaction.
TEST_CASE_FIXTURE(platform_fixture,
                  "row_table, one of two conditions fails, writes neither row")
{
    write("c1", "a", "1", 0);
    auto const result =
        apply_commit(platform_.rows_, {.commit_id_ = "c2",
                                       .conditions_ = {{"a", 1}, {"b", 5}},
                                       .writes_ = {{"a", "2"}, {"b", "2"}}});
    CHECK_FALSE(result.applied_);
    CHECK(list_keys("", 1).empty());
}

// Guards against a retry after a lost reply that is applied twice or told a
// conflict with itself.
TEST_CASE_FIXTURE(platform_fixture,
                  "row_table, repeated commit id, returns the first result")
{
    auto const first = write("c1", "head", "1", 0);
    write("c2", "head", "2", 1);
    CHECK(write("c1", "head", "1", 0) == first);
    CHECK(platform_.rows_.revision_ == 2);
    auto const refused = write("c3", "head", "3", 1);
    CHECK(write("c3", "head", "3", 2) == refused);
}

// Guards against readers of changes that miss a write or a deletion.
TEST_CASE_FIXTURE(platform_fixture,
                  "row_table, read of changes, lists writes and deletions")
{
    write("c1", "shard/a", "1", 0);
    write("c2", "shard/b", "1", 0);
    write("c3", "ticket/1", "1", 0);
    remove("c4", "shard/a");
    CHECK(list_keys("shard/", 0) == keys{"shard/b"});
    CHECK(list_keys("shard/", 1) == keys{"shard/b", "shard/a deleted"});
    CHECK(list_keys("", 3) == keys{"shard/a deleted"});
    CHECK(list_keys("", 4).empty());
}

// Guards against a deleted row that can't be created again.
TEST_CASE_FIXTURE(platform_fixture,
                  "row_table, row deleted, counts as absent in conditions")
{
    write("c1", "a", "1", 0);
    remove("c2", "a");
    CHECK(write("c3", "a", "2", 0).applied_);
    CHECK(list_keys("a", 0) == keys{"a"});
}

// Guards against lost replies that lose the write as well.
TEST_CASE_FIXTURE(platform_fixture,
                  "platform, reply lost, has applied and answers the retry")
{
    platform_.faults_.lose_next_commits_ = 1;
    state::commit_rows const commit{.commit_id_ = "c1",
                                    .writes_ = {{"a", "1"}}};
    CHECK_FALSE(commit_platform(platform_, commit).has_value());
    auto const retried = commit_platform(platform_, commit);
    REQUIRE(retried.has_value());
    CHECK(retried->applied_);
    CHECK(platform_.counters_.commits_applied_ == 1);
    CHECK(platform_.counters_.commits_repeated_ == 1);
    CHECK(platform_.counters_.replies_lost_ == 1);
}

// Guards against an outage in which writes still take effect.
TEST_CASE_FIXTURE(platform_fixture, "platform, store down, applies nothing")
{
    platform_.faults_.store_down_ = true;
    CHECK_FALSE(commit_platform(platform_,
                                {.commit_id_ = "c1", .writes_ = {{"a", "1"}}}));
    CHECK_FALSE(read_platform(platform_, {}));
    CHECK(platform_.rows_.revision_ == 0);
    CHECK(platform_.counters_.calls_failed_ == 2);
    CHECK(list_platform_hosts(platform_, start_).has_value());
}

// Guards against a host list that shows changes at once, which would hide
// faults of its readers.
TEST_CASE_FIXTURE(platform_fixture,
                  "host_table, change within the lag, is not visible yet")
{
    put_host(platform_.hosts_, start_, make_host("worker-1"));
    platform_.hosts_.lag_micros_ = 500;
    CHECK(list_hosts(platform_.hosts_, start_).size() == 1);
    mark_host_leaving(platform_.hosts_, start_, target_id("worker-1"), true);
    CHECK_FALSE(list_hosts(platform_.hosts_, start_.after(499))[0].leaving_);
    CHECK(list_hosts(platform_.hosts_, start_.after(500))[0].leaving_);
    remove_host(platform_.hosts_, start_.after(500), target_id("worker-1"));
    CHECK(list_hosts(platform_.hosts_, start_.after(999)).size() == 1);
    CHECK(list_hosts(platform_.hosts_, start_.after(1000)).empty());
}

} // namespace
} // namespace fescuevane::stand_ins

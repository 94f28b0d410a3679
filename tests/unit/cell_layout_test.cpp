// Purpose: tests of how a failure domain's targets are divided into shards.
#include "cell_cluster_fixture.hpp"

#include "cell/record_error.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

std::int64_t const settle_micros = 3 * micros_per_second;

// Guards against two different layouts of one domain, which would give targets
// two owners, or none.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "two hosts start at once, targets listed, one layout")
{
    add_host("host-1");
    list_two_racks();
    run(5 * 10'000);
    add_host("host-2");
    run(settle_micros);
    layout_record const layout = stored_layout();
    CHECK(layout.shards_ == 2);
    REQUIRE(layout.racks_.size() == 2);
    CHECK(layout.racks_.at(rack_id("eastr-1")) !=
          layout.racks_.at(rack_id("eastr-2")));
    // Each target is held by the owner of its rack's shard alone.
    CHECK(list_served("host-1").size() == 1);
    CHECK(list_served("host-2").size() == 1);
}

// Guards against a host that overwrites the layout of another host with its
// own.
TEST_CASE_FIXTURE(cell_fixture,
                  "layout of another host stored, written, stored one is used")
{
    settings_.targets_per_shard_ = 1;
    start(2);
    list_target("t-1");
    run(100'000);
    row_key const key{"member", "", "layout/east"};
    rows_[key] = {key, write_layout({3, {{rack_id("r-1"), 2}}}), ++revision_};
    run(micros_per_second); // no event reports the row
    CHECK(read_layout(rows_.at(key).value_).shards_ == 3);
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    CHECK(rows_.contains({"member", "0", "shard/east.2"}));
}

// Guards against a layout computed from the first few targets of a starting
// cell: it never changes, and one host would hold all targets listed later.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "targets are listed one by one, layout waits for all")
{
    add_host("host-1");
    for (int target = 0; target < 8; ++target)
    {
        run(400'000);
        list_target("t-" + std::to_string(target),
                    "r-" + std::to_string(target / 2));
    }
    run(settle_micros);
    CHECK(stored_layout().shards_ == 4);
}

// Guards against targets that get no shard because they were listed before the
// layout was known.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "targets listed before the layout, layout comes, all held")
{
    list_two_racks();
    add_host("host-1");
    run(settle_micros);
    CHECK(list_served("host-1").size() == 2);
    CHECK(fences_.size() == 4);
}

// Guards against a rack without an owner because the layout doesn't list it.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "rack added after the layout, listed, its target is held")
{
    add_host("host-1");
    list_two_racks();
    run(settle_micros);
    list_target("t-late", "r-late");
    run(micros_per_second);
    CHECK(stored_layout().racks_.size() == 2);
    CHECK(fences_.contains(target_id("t-late")));
}

// Guards against a rolling update that divides a domain while a host of the
// earlier version still owns it as one shard.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "shard owned without a layout, host starts, one shard")
{
    row_key const key{"member", "0", "shard/east.0"};
    rows_.insert(
        {key,
         {key, write_owner({host_id("host-9"), 1, "127.0.0.1:7900", 3}),
          ++revision_}});
    list_two_racks();
    add_host("host-1");
    run(20 * micros_per_second);
    CHECK(stored_layout().shards_ == 1);
    CHECK(list_served("host-1") == std::set<std::string>{"east.0"});
    CHECK(fences_.size() == 4);
}

// Guards against dividing a small cell without need: each shard costs a
// planner, a journal and heartbeats.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "few targets on many racks, started, one shard")
{
    defaults_.targets_per_shard_ = settings().targets_per_shard_;
    add_host("host-1");
    list_two_racks();
    run(settle_micros);
    CHECK(stored_layout().shards_ == 1);
}

// Guards against shards without targets: a rack isn't divided, so that a gang
// and its data can stay in it.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "many targets on one rack, started, one shard")
{
    add_host("host-1");
    for (int target = 0; target < 8; ++target)
    {
        list_target("t-" + std::to_string(target), "r-1");
    }
    run(settle_micros);
    CHECK(stored_layout().shards_ == 1);
}

// Guards against unusable parts of limits: a failure domain without targets has
// a part, too, and only an owner of its shard can transfer it.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "domain without targets, time passes, laid out as one shard")
{
    add_host("host-1");
    run(20 * micros_per_second);
    CHECK(stored_layout().shards_ == 1);
    CHECK(list_served("host-1") == std::set<std::string>{"east.0"});
}

// Guards against a layout written by a host of another domain, which may know
// fewer of the targets, before a host of the domain could write it.
TEST_CASE_FIXTURE(cell_cluster_fixture,
                  "host of another domain starts, waits for those inside")
{
    defaults_.domains_ = {domain_id("east"), domain_id("west")};
    add_host("host-1", 0.5, "west");
    list_two_racks();
    run(micros_per_second);
    CHECK_FALSE(rows_.contains({"member", "", "layout/east"}));
    run(settle_micros);
    CHECK(stored_layout().shards_ == 2);
}

TEST_CASE("layout, malformed, refused with this layer's error")
{
    for (char const* const text :
         {"", "{}", R"({"shards":0,"racks":{}})",
          R"({"shards":2,"racks":{"r-1":2}})", R"({"shards":2})"})
    {
        CHECK_THROWS_AS(read_layout(text), record_error);
    }
}

TEST_CASE("layout, written and read, unchanged")
{
    layout_record const layout{3, {{rack_id("r-1"), 2}, {rack_id("r-2"), 0}}};
    CHECK(read_layout(write_layout(layout)) == layout);
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of the rows that name the targets with leases.
#include "tests/unit/node_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace fescuevane::entry
{
namespace
{

constexpr char const* grant_row = "job/east/0/targets";

struct node_grants_fixture : node_fixture
{
    node_grants_fixture() { start_cell(); }

    void set_run_time(std::int64_t micros)
    {
        for (auto& [name, target] : targets_)
        {
            target.run_micros_ = micros;
        }
    }

    bool is_named(std::string const& target) const
    {
        auto const row = store_.cells_.find(grant_row);
        return row != store_.cells_.end() &&
               row->second.value_.find('"' + target + '"') != std::string::npos;
    }

    bool wait_for_starts(std::string const& id, std::size_t count)
    {
        return run_until(
            [&]
            {
                return count_starts(id) >= count;
            },
            8 * micros_per_second);
    }

    void replace_owners()
    {
        for (std::string const name : {"east1", "east2"})
        {
            kill(name);
            start(name, "east", 2);
        }
    }

    // More requests than the two targets of "east" take at once.
    void fill()
    {
        for (int i = 0; i < 16; ++i)
        {
            submit("east1", make_request("east.0~" + std::to_string(i)));
        }
    }
};

// Guards against starts that no later owner can know of: the store is away, so
// the row of leases doesn't name the target.
TEST_CASE_FIXTURE(node_grants_fixture,
                  "new target, store away, gets work once its row is written")
{
    set_run_time(4 * micros_per_second);
    store_.down_ = true;
    target_fake& target = add_target("t-east3", "east");
    run(2 * micros_per_second);
    REQUIRE(target.epoch_ > 0);
    fill();
    run(3 * micros_per_second);
    CHECK(target.started_.empty());
    CHECK_FALSE(targets_.at("t-east1").started_.empty());
    CHECK_FALSE(is_named("t-east3"));
    store_.down_ = false;
    REQUIRE(run_until(
        [&target]
        {
            return !target.started_.empty();
        },
        10 * micros_per_second));
    CHECK(is_named("t-east3"));
}

// Guards against a task that is repeated, or whose answer is lost, when its
// target can be reached but isn't listed.
TEST_CASE_FIXTURE(node_grants_fixture,
                  "target unlisted, reached by a new owner, its task goes on")
{
    set_run_time(8 * micros_per_second);
    submit("west1", make_batch("east.0~a", 1));
    REQUIRE(wait_for_starts("east.0~a", 1));
    run(micros_per_second);
    targets_.at(find_target_of("east.0~a")).unlisted_ = true;
    replace_owners();
    run(3 * micros_per_second);
    auto const found =
        wait("west1", submit("west1", make_batch("east.0~a", 1)));
    REQUIRE(found);
    CHECK(found->state_ == job_state::answered);
    CHECK(count_starts("east.0~a") == 1);
}

// Guards against a second run while the first goes on: the target is listed and
// named by the row, but the new owner can't reach it.
TEST_CASE_FIXTURE(node_grants_fixture,
                  "target cut off, named by the row, new owner waits for it")
{
    set_run_time(60 * micros_per_second);
    submit("west1", make_batch("east.0~a", 1));
    REQUIRE(wait_for_starts("east.0~a", 1));
    run(micros_per_second);
    targets_.at(find_target_of("east.0~a")).silent_ = true;
    replace_owners();
    run(15 * micros_per_second);
    CHECK(count_starts("east.0~a") == 1);
    CHECK(overlaps_ == 0);
}

// Guards against work that waits for a listed target which nobody ever reached
// and which can't run anything.
TEST_CASE_FIXTURE(node_grants_fixture,
                  "target never reached, new owner, doesn't wait for it")
{
    set_run_time(60 * micros_per_second);
    add_target("t-east9", "east").silent_ = true;
    run(3 * micros_per_second);
    submit("west1", make_batch("east.0~a", 1));
    REQUIRE(wait_for_starts("east.0~a", 1));
    run(micros_per_second);
    CHECK_FALSE(is_named("t-east9"));
    replace_owners();
    restart_target(find_target_of("east.0~a"));
    CHECK(wait_for_starts("east.0~a", 2));
    CHECK(overlaps_ == 0);
}

// Guards against a target that stays in the row for good.
TEST_CASE_FIXTURE(node_grants_fixture,
                  "target gone, leases lapsed, taken out of the row")
{
    REQUIRE(is_named("t-east2"));
    targets_.at("t-east2").silent_ = true;
    targets_.at("t-east2").unlisted_ = true;
    run(8 * micros_per_second);
    CHECK(is_named("t-east2"));
    run(12 * micros_per_second);
    CHECK_FALSE(is_named("t-east2"));
    CHECK(is_named("t-east1"));
}

// Guards against a row of another writer that ends the process or the shard's
// service: the new owner waits for all listed targets then.
TEST_CASE_FIXTURE(node_grants_fixture,
                  "row of leases, unreadable, listed targets are waited for")
{
    set_run_time(6 * micros_per_second);
    submit("west1", make_batch("east.0~a", 1));
    REQUIRE(wait_for_starts("east.0~a", 1));
    run(micros_per_second);
    for (std::string const& text :
         {std::string(200'000, '['), std::string("7"),
          std::string(R"({"targets":[{"target":7}]})")})
    {
        store_.cells_.at(grant_row).value_ = text;
        replace_owners();
        run(micros_per_second);
    }
    run(3 * micros_per_second);
    auto const found =
        wait("west1", submit("west1", make_batch("east.0~a", 1)));
    REQUIRE(found);
    CHECK(found->state_ == job_state::answered);
    CHECK(count_starts("east.0~a") == 1);
    CHECK(overlaps_ == 0);
}

} // namespace
} // namespace fescuevane::entry

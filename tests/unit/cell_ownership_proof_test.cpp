// Purpose: an owner renews leases only while it can show that no other host has
// taken its shard, and a new owner waits accordingly.
#include "cell_partition_fixture.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// One failure domain with three hosts and four targets. A lasting job has a
// task on each target.
struct ownership_proof_fixture : cell_partition_fixture
{
    static constexpr std::int64_t second = micros_per_second;

    std::vector<std::string> const target_names_ = {"t-0", "t-1", "t-2", "t-3"};

    ownership_proof_fixture()
    {
        for (std::string const& name : target_names_)
        {
            add_target(name, "a", "rack-" + name);
        }
        add_host("h-1", "a", {domain_id("a")});
        run(2 * second);
        add_host("h-2", "a", {domain_id("a")});
        add_host("h-3", "a", {domain_id("a")});
        run(2 * second);
        submit("h-1", "lasting",
               {.count_ = 4,
                .demand_ = {9000, 8800, 0},
                .estimate_ms_ = 320,
                .perpetual_ = true},
               1'000'000'000);
        run(2 * second);
        add_target("t-4", "a", "rack-t-4"); // has room for one more
        run(2 * second);
    }

    void cut(endpoint const& a, endpoint const& b)
    {
        cut_links_.insert({a, b});
        cut_links_.insert({b, a});
    }

    bool owns(std::string const& host) const
    {
        return owns_shards(*hosts_.at(host).node_);
    }

    std::size_t count_running() const
    {
        std::size_t count = 0;
        for (auto const& [task, places] : active_)
        {
            count += places.size();
        }
        return count;
    }
};

} // namespace

// Guards against an owner that was paused and renews leases on a target that
// its successor can't reach and counts as lapsed.
TEST_CASE_FIXTURE(ownership_proof_fixture,
                  "owner paused, target reached by it alone, task runs once")
{
    REQUIRE(owns("h-1"));
    REQUIRE(count_running() == 4);
    cut("h-2", "t-0");
    cut("h-3", "t-0");
    pause("h-1", 6 * second);
    run(25 * second);
    CHECK((owns("h-2") || owns("h-3")));
    CHECK(violations_ == std::vector<std::string>());
    CHECK(count_running() == 4);
}

// Guards against an owner that is cut off from the store, from its successor
// and from all targets that this one reaches.
TEST_CASE_FIXTURE(ownership_proof_fixture,
                  "owner cut off with one target, task runs once")
{
    REQUIRE(owns("h-1"));
    for (endpoint const& other :
         {"store", "h-2", "h-3", "t-1", "t-2", "t-3", "t-4"})
    {
        cut("h-1", other);
    }
    cut("h-2", "t-0");
    cut("h-3", "t-0");
    run(25 * second);
    CHECK((owns("h-2") || owns("h-3")));
    CHECK(violations_ == std::vector<std::string>());
    CHECK(count_running() == 4);
}

// Guards against leases that lapse because the proof is missing while nobody
// else can own the shard.
TEST_CASE_FIXTURE(ownership_proof_fixture,
                  "store away, most targets reached, runs go on")
{
    cut("h-1", store);
    cut("h-2", store);
    cut("h-3", store);
    std::size_t const before = starts_;
    run(20 * second);
    CHECK(owns("h-1"));
    CHECK(count_running() == 4);
    CHECK(starts_ == before);
}

// Guards against leases that lapse because most targets are lost, while the
// store shows that the shard has no other owner.
TEST_CASE_FIXTURE(ownership_proof_fixture,
                  "most targets lost, store reached, remaining run goes on")
{
    for (endpoint const& target : {"t-1", "t-2", "t-3", "t-4"})
    {
        cut("h-1", target);
    }
    run(20 * second);
    CHECK(owns("h-1"));
    CHECK(targets_.at(target_id("t-0")).state_.running_.size() == 1);
    CHECK(targets_.at(target_id("t-0")).state_.last_end_ == 0);
}

} // namespace fescuevane::cell

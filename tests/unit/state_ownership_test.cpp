// Purpose: tests of shard ownership.
#include "tests/unit/state_fixture.hpp"

#include <doctest/doctest.h>
#include <algorithm>

namespace fescuevane::state
{
namespace
{

struct ownership_fixture : state_fixture
{
    shard_id const east_0_{domain_id("east"), 0};

    void start_four()
    {
        start("e1", "east");
        start("e2", "east");
        start("w1", "west");
        start("w2", "west");
    }
};

// Guards against two owners of one shard, and against one host that takes all.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, processes start together, each gets its fair part")
{
    start_four();
    run(3000);
    CHECK(all_served_once());
    for (auto const& [name, process] : processes_)
    {
        REQUIRE(process.serves_.size() == 1);
        CHECK(process.serves_.begin()->first.domain_ ==
              process.settings_.domain_);
    }
}

// Guards against a claim that counts as failed after it has taken effect.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, replies of claims lost, are claimed once")
{
    start("e1", "east");
    run(500);
    store_.lost_replies_ = 6;
    run(6000);
    REQUIRE(processes_.at("e1").serves_.size() == 4);
    for (auto const& [shard, epoch] : processes_.at("e1").serves_)
    {
        CHECK(epoch == 1);
    }
}

// Guards against shards that stay without an owner when theirs dies.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, owner dies, host of the domain takes over")
{
    start_four();
    run(3000);
    auto const lost = processes_.at("e1").serves_.begin()->first;
    kill("e1");
    run(1000);
    CHECK(list_servers(lost).empty());
    run(1500);
    CHECK(list_servers(lost) == std::vector<std::string>{"e2"});
    CHECK(processes_.at("e2").serves_.at(lost) == 2);
    CHECK(all_served_once());
}

// Guards against a domain without service when all of its hosts are gone.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, all hosts of a domain die, others take over later")
{
    start_four();
    run(3000);
    kill("e1");
    kill("e2");
    run(2000);
    CHECK(list_servers(east_0_).empty());
    run(2500);
    CHECK(all_served_once());
}

// Guards against losing service because the store is down.
TEST_CASE_FIXTURE(ownership_fixture, "shards, store down, owners go on serving")
{
    start_four();
    run(3000);
    store_.down_ = true;
    run(20000);
    CHECK(all_served_once());
    for (auto const& [name, process] : processes_)
    {
        CHECK(process.list<shard_released>().empty());
    }
}

// Guards against a resumed owner that serves beside its successor, and against
// a resumed process that takes the shards of peers it couldn't hear.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, owner pauses and resumes, drops only its own")
{
    start_four();
    run(3000);
    process_fake& paused = processes_.at("e1");
    paused.paused_ = true;
    run(4000);
    CHECK(processes_.at("e2").serves_.size() == 2);
    paused.paused_ = false;
    paused.told_.clear();
    run(60);
    CHECK(paused.list<commit_rows>().empty());
    run(400);
    CHECK(paused.list<shard_released>().size() == 1);
    run(5000);
    CHECK(all_served_once());
    CHECK(paused.serves_.size() == 1); // handed back, one per host
}

// Guards against an owner that goes on although a target has seen its
// successor.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shard, fenced by a higher epoch, is released at once")
{
    process_fake& only = start("e1", "east");
    run(4000);
    REQUIRE(only.serves_.contains(east_0_));
    only.post(shard_fenced{east_0_, 1});
    run(20);
    CHECK(only.serves_.contains(east_0_));
    only.post(shard_fenced{east_0_, 7});
    run(20);
    CHECK_FALSE(only.serves_.contains(east_0_));
    run(3000);
    CHECK(only.serves_.at(east_0_) == 8);
}

// Guards against a planned stop that leaves shards to the suspicion bound.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, owner stops, successor has them before suspicion")
{
    start_four();
    run(3000);
    process_fake& stopping = processes_.at("w1");
    auto const    shard = stopping.serves_.begin()->first;
    stopping.post(stop_requested{});
    run(400);
    CHECK(has_released_all(*stopping.control_));
    CHECK(list_servers(shard) == std::vector<std::string>{"w2"});
    CHECK(processes_.at("w2").serves_.at(shard) == 2);
    run(3000);
    CHECK(all_served_once());
}

// Guards against a stop that never ends when no successor is left.
TEST_CASE_FIXTURE(ownership_fixture, "shards, last process stops, are released")
{
    process_fake& only = start("e1", "east");
    run(4000);
    only.post(stop_requested{});
    run(100);
    CHECK(has_released_all(*only.control_));
    CHECK(only.serves_.empty());
}

// Guards against a new host of a domain that stays without work.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, new host of the domain, gets one handed over")
{
    start("e1", "east");
    run(4000);
    REQUIRE(processes_.at("e1").serves_.size() == 4);
    start("e2", "east");
    run(5000);
    std::size_t const east = static_cast<std::size_t>(std::count_if(
        processes_.at("e2").serves_.begin(), processes_.at("e2").serves_.end(),
        [](auto const& entry)
        {
            return entry.first.domain_ == domain_id("east");
        }));
    CHECK(east == 1);
    CHECK(all_served_once());
}

// Guards against a restarted process that serves with empty tables under the
// epoch of the process before it.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shards, owner restarts under its name, raises the epoch")
{
    start("e1", "east");
    run(4000);
    start("e1", "east", 2);
    run(3000);
    CHECK(all_served_once());
    CHECK(processes_.at("e1").serves_.at(east_0_) == 2);
}

// Guards against accepted work that a takeover forgets.
TEST_CASE_FIXTURE(ownership_fixture,
                  "journal, owner dies, new owner gets its records")
{
    start("e1", "east");
    run(4000);
    processes_.at("e1").post(make_record(east_0_, "a"));
    processes_.at("e1").post(make_record(east_0_, "b"));
    run(200);
    kill("e1");
    process_fake& next = start("e2", "east");
    run(5000);
    for (shard_acquired const& acquired : next.list<shard_acquired>())
    {
        CHECK(acquired.epoch_ == 2);
        if (acquired.shard_ == east_0_)
        {
            REQUIRE(acquired.jobs_.size() == 2);
            CHECK(*acquired.jobs_[0].spec_ == *make_record(east_0_, "a").spec_);
        }
    }
}

} // namespace
} // namespace fescuevane::state

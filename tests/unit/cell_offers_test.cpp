// Purpose: tests of which shard a step moves to if its own can't run it.
#include "cell_offers_fixture.hpp"

#include "core/hashing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <cstdint>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// Guards against a gang that moves from shard to shard, one to four seconds
// each, and stays in the sixth though another one could run it.
TEST_CASE_FIXTURE(offers_fixture,
                  "gang, one shard of eight may run it, started there soon")
{
    allow("aa01", {1, 1, 1, 1, 1, 1, 1, 4});
    submit("h-1", "aa01", {make_step(12, true)});
    run(6 * micros_per_second);
    CHECK(count_started("aa01") == 12);
    CHECK(invalid_tickets_ == 0);
}

// Guards against the same for a step whose tasks start one by one.
TEST_CASE_FIXTURE(
    offers_fixture,
    "wide step, one shard of eight may run it, started there soon")
{
    allow("aa01", {0, 0, 0, 0, 0, 0, 0, 3});
    submit("h-1", "aa01", {make_step(12, false)});
    run(6 * micros_per_second);
    CHECK(count_started("aa01") == 12);
    CHECK(invalid_tickets_ == 0);
}

// Guards against a wide step that stays in a shard which is allowed one target,
// and starts there a few tasks at a time, while the others are idle.
TEST_CASE_FIXTURE(
    offers_fixture,
    "wide step, one allowed target here and more elsewhere, all started soon")
{
    constexpr std::int64_t age_ms = 6000;
    allow("aa01", {1, 1, 1, 1, 1, 1, 1, 4});
    submit("h-1", "aa01", {make_step(40, false)});
    run_long_work(35 * micros_per_second, age_ms);
    CHECK(count_started("aa01") == 40);
    CHECK(count_starts("aa01") == 40);
    CHECK(invalid_tickets_ == 0);
}

// Guards against a gang that waits forever because each shard may run only a
// part of it, while together they have room for all of it.
TEST_CASE_FIXTURE(offers_fixture,
                  "gang, larger than what any shard may run, started")
{
    allow("aa01", {3, 3, 3, 3, 3, 3, 3, 3});
    submit("h-1", "aa01", {make_step(13, true)});
    run(30 * micros_per_second);
    CHECK(count_started("aa01") == 13);
}

// Guards against a step that stays where it can't run: the only shard that may
// run it was full of long-running work when it received the offer or the step.
TEST_CASE_FIXTURE(
    offers_fixture,
    "lasting work in the only shard, canceled late, step started then")
{
    bool gang = true;
    SUBCASE("gang") {}
    SUBCASE("single tasks")
    {
        gang = false;
    }
    allow("cc01", {0, 0, 0, 0, 0, 0, 0, 4});
    submit_long_running("cc01", 4);
    run(20 * micros_per_second);
    REQUIRE(count_running("cc01") == 4);
    allow("aa01", {0, 0, 0, 0, 0, 0, 0, 4});
    submit("h-1", "aa01", {make_step(12, gang)});
    run(20 * micros_per_second);
    CHECK(count_started("aa01") == 0);
    ask("h-1", call_kind::cancel, "cc01");
    run(12 * micros_per_second);
    CHECK(count_started("aa01") == 12);
    CHECK(invalid_tickets_ == 0);
}

// Guards against steps that never start beside a few that no shard may run:
// these use up the rounds and the cached offers, so each round requests advice
// from the policy service again and ends before the replies.
TEST_CASE_FIXTURE(offers_fixture,
                  "three steps a shard may run nowhere, other steps start soon")
{
    constexpr int hopeless = 3 * shards;
    for (int job = 0; job < hopeless; ++job)
    {
        std::string const id = "bb" + std::to_string(100 + job);
        allow(id, {0, 0, 0, 0, 0, 0, 0, 0});
        submit("h-1", id, {make_step(1, false)});
        run(50'000);
    }
    run(60 * micros_per_second);
    std::vector<std::string> const jobs = {"aa01", "aa02", "aa03", "aa04",
                                           "aa05", "aa06", "aa07", "aa08"};
    for (std::string const& id : jobs)
    {
        allow(id, {0, 0, 0, 0, 0, 0, 0, 4});
        submit("h-1", id, {make_step(1, false)});
        run(50'000);
    }
    run_work(20 * micros_per_second);
    for (std::string const& id : jobs)
    {
        CAPTURE(id);
        CHECK(count_started(id) == 1);
    }
    CHECK(invalid_tickets_ == 0);
}

// A gang of 13, submitted to a shard of the host that serves the last one.
struct late_answers_fixture : offers_fixture
{
    static constexpr std::uint32_t width = 13;
    static constexpr std::int64_t  long_ms = 30'000;
    shard_id const                 last_{domain_id("east"), shards - 1};
    std::string const              host_ = find_host(last_);
    std::string const              id_ = find_id();

    std::string find_host(shard_id const& shard)
    {
        for (auto const& [name, address] : addresses_)
        {
            if (owns(*find(name).node_, shard, owned_phase::serving))
            {
                return name;
            }
        }
        return "";
    }

    // Id of a job that is sent to the host's other shard: among shards without
    // load the hash of the id decides.
    std::string find_id()
    {
        for (int number = 10;; ++number)
        {
            std::string                id = "aa" + std::to_string(number);
            std::vector<std::uint64_t> order;
            for (std::uint32_t shard = 0; shard < last_.index_; ++shard)
            {
                order.push_back(compute_stable_hash(id, shard) % 1024);
            }
            auto const     least = std::min_element(order.begin(), order.end());
            shard_id const home{last_.domain_, static_cast<std::uint32_t>(
                                                   least - order.begin())};
            if (find_host(home) == host_)
            {
                return id;
            }
        }
    }

    void submit_gang(std::uint32_t tasks)
    {
        submit("h-1", id_, {make_step(tasks, true)});
    }

    // Work that fills targets of the last shard.
    void fill_last_shard(std::string const& id, std::size_t from,
                         std::uint32_t count)
    {
        std::vector<target_id> const all = list_targets(last_.index_);
        for (std::size_t index = from; index < from + count; ++index)
        {
            allowed_[job_id(id)].insert(all.at(index));
        }
        submit("h-1", id,
               {{.count_ = count,
                 .demand_ = {4000, 512, 0},
                 .estimate_ms_ = long_ms}});
    }

    // Keeps all other hosts from asking the policy service.
    void delay_other_hosts(std::int64_t micros)
    {
        for (auto const& [name, address] : addresses_)
        {
            if (name != host_)
            {
                advice_busy_[address] = unix_ms_ + micros / micros_per_milli;
            }
        }
    }

    // Time until the gang starts; 60 s if it doesn't.
    std::int64_t measure_start(std::uint32_t tasks)
    {
        constexpr std::int64_t most = 60 * micros_per_second;
        constexpr std::int64_t step = 100'000;
        std::int64_t           passed = 0;
        while (passed < most && count_started(id_) < tasks)
        {
            run_long_work(step, long_ms);
            passed += step;
        }
        return passed;
    }
};

// Guards against a gang that moves to the only shard that answers, where it
// waits for room, because answers without advice look like no room elsewhere.
TEST_CASE_FIXTURE(late_answers_fixture,
                  "gang, all but one shard answer without advice, spread soon")
{
    fill_last_shard("cc01", 0, 4);
    run_long_work(5 * micros_per_second, long_ms);
    REQUIRE(count_running("cc01") == 4);
    allow(id_, {1, 1, 1, 1, 1, 1, 1, 4});
    delay_other_hosts(4 * micros_per_second);
    submit_gang(width);
    std::int64_t const micros = measure_start(width);
    CHECK(micros <= 8 * micros_per_second);
    CHECK(invalid_tickets_ == 0);
}

// Guards against a gang that isn't decided on while shards never answer.
TEST_CASE_FIXTURE(late_answers_fixture,
                  "gang, most shards never get advice, starts in the one left")
{
    fill_last_shard("cc01", 0, 4);
    run_long_work(5 * micros_per_second, long_ms);
    REQUIRE(count_running("cc01") == 4);
    allow(id_, {1, 1, 1, 1, 1, 1, 1, 4});
    delay_other_hosts(600 * micros_per_second);
    submit_gang(width);
    run_long_work(8 * micros_per_second, long_ms);
    end_runs(run_ms);
    std::int64_t const micros = measure_start(width);
    CHECK(micros <= 10 * micros_per_second);
    CHECK(invalid_tickets_ == 0);
}

// Guards against a gang that waits in one shard for work that ends late, while
// it could run beside that work with a part in another shard.
TEST_CASE_FIXTURE(late_answers_fixture,
                  "gang, room in one shard later, some in another, spread")
{
    constexpr std::uint32_t tasks = 12;
    constexpr std::int64_t  short_ms = 4000;
    fill_last_shard("cc01", 0, 2);
    fill_last_shard("cc02", 2, 2);
    run_long_work(5 * micros_per_second, long_ms);
    REQUIRE(count_running("cc01") + count_running("cc02") == 4);
    lasting_.insert(job_id("cc02"));
    allow(id_, {0, 0, 0, 0, 0, 0, 0, 4});
    for (std::uint32_t shard = 0; shard < last_.index_; ++shard)
    {
        if (find_host({last_.domain_, shard}) != host_)
        {
            allowed_[job_id(id_)].insert(list_targets(shard).front());
            break;
        }
    }
    submit_gang(tasks);
    run_long_work(short_ms * micros_per_milli, long_ms);
    end_runs(short_ms);
    REQUIRE(count_running("cc02") == 2);
    std::int64_t const micros = measure_start(tasks);
    CHECK(micros <= 3 * micros_per_second);
    CHECK(invalid_tickets_ == 0);
}

// Jobs whose tasks end, with the targets that each may use in each shard.
struct random_step
{
    std::uint32_t            count_ = 0;
    bool                     gang_ = false;
    std::vector<std::size_t> targets_;
};

std::ostream& operator<<(std::ostream& out, random_step const& step)
{
    out << step.count_ << (step.gang_ ? " in a gang" : " tasks") << ", targets";
    for (std::size_t const targets : step.targets_)
    {
        out << ' ' << targets;
    }
    return out;
}

rc::Gen<random_step> arbitrary_step()
{
    return rc::gen::build<random_step>(
        rc::gen::set(&random_step::count_,
                     rc::gen::inRange<std::uint32_t>(1, 14)),
        rc::gen::set(&random_step::gang_),
        rc::gen::set(
            &random_step::targets_,
            rc::gen::container<std::vector<std::size_t>>(
                offers_fixture::shards, rc::gen::weightedElement<std::size_t>(
                                            {{6, 0}, {3, 1}, {1, 4}}))));
}

// True if the shards together may run the step beside long-running tasks on the
// last targets of the first shards.
bool is_runnable(random_step const& step, std::size_t long_running)
{
    constexpr std::size_t target_tasks = 4;
    std::size_t const     needed = step.gang_ ? step.count_ : 1;
    std::size_t           room = 0;
    for (std::size_t shard = 0; shard < step.targets_.size(); ++shard)
    {
        std::size_t const free = std::min<std::size_t>(
            step.targets_[shard],
            offers_fixture::shard_targets - (shard < long_running ? 1 : 0));
        room += free * target_tasks;
    }
    return room >= needed;
}

// Guards against mixtures of steps in which one stays where it can't run, runs
// twice, or starts without a ticket.
TEST_CASE("random steps and lasting work, load ends, runnable steps complete")
{
    CHECK(rc::check(
        []
        {
            auto const long_running = *rc::gen::inRange<std::size_t>(0, 5);
            auto const steps = *rc::gen::container<std::vector<random_step>>(
                6, arbitrary_step());
            offers_fixture cluster;
            for (std::size_t shard = 0; shard < long_running; ++shard)
            {
                std::string const id = "cc0" + std::to_string(shard);
                cluster.allowed_[job_id(id)].insert(
                    cluster.list_targets(static_cast<std::uint32_t>(shard))
                        .back());
                cluster.submit_long_running(id, 1);
            }
            cluster.run_work(10 * micros_per_second);
            for (std::size_t step = 0; step < steps.size(); ++step)
            {
                std::string const id = "aa0" + std::to_string(step);
                cluster.allow(id, steps[step].targets_);
                cluster.submit("h-" + std::to_string(1 + step % 4), id,
                               {offers_fixture::make_step(steps[step].count_,
                                                          steps[step].gang_)});
            }
            cluster.run_work(30 * micros_per_second);
            for (std::size_t step = 0; step < steps.size(); ++step)
            {
                std::string const id = "aa0" + std::to_string(step);
                auto const        starts =
                    static_cast<std::size_t>(cluster.count_starts(id));
                RC_ASSERT(starts == (is_runnable(steps[step], long_running)
                                         ? steps[step].count_
                                         : 0));
            }
            RC_ASSERT(cluster.invalid_tickets_ == 0);
        }));
}

} // namespace
} // namespace fescuevane::cell

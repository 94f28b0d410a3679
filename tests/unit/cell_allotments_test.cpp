// Purpose: tests of limits that are divided among shards.
#include "cell_cluster_fixture.hpp"
#include "cell_pair_fixture.hpp"

#include "cell/record_error.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// The organisation's limit allows four running tasks in the whole cell; east
// and west have equal capacity.
struct allotment_fixture : cell_pair_fixture
{
    row_key const  key_{"member", "0", "allotment/cafe"};
    shard_id const east_{domain_id("east"), 0};
    shard_id const west_id_{domain_id("west"), 0};

    allotment_fixture()
    {
        auto config = std::make_shared<cell_config>(*make_config());
        config->version_ = 2;
        config->organisations_[0].share_.limit_ = {4000, 0, 0};
        post(config_changed{config});
        west_.used_ = {4000, 0, 0}; // so that jobs stay in east
        set_demand_in_west(0);
    }

    void set_demand_in_west(std::int64_t cpu_millis)
    {
        west_.organisations_ = {
            {organisation_id("cafe"), {}, {cpu_millis, 0, 0}}};
    }

    std::int64_t stored_part(shard_id const& shard)
    {
        auto const row = rows_.find(key_);
        if (row == rows_.end())
        {
            return -1; // all parts are equal
        }
        return read_allotment(row->second.value_).parts_.at(shard);
    }

    // The owner of west transfers some of its part.
    void transfer_from_west(std::uint32_t east, std::uint32_t west)
    {
        rows_[key_] = {key_,
                       write_allotment({{{east_, east}, {west_id_, west}}}),
                       ++revision_};
        post(member_row_changed{rows_[key_]});
    }
};

// Guards against work that waits in one shard while the organisation's part of
// the limit is unused in another one.
TEST_CASE_FIXTURE(
    allotment_fixture,
    "limit, other shard lacks capacity, spare part is transferred")
{
    set_demand_in_west(3000);
    run_cell(micros_per_second);
    CHECK(stored_part(west_id_) == 750);
    CHECK(stored_part(east_) == 250);
}

// Guards against exceeding a limit: a transferred part may not be used any
// more, whether or not the store has replied.
TEST_CASE_FIXTURE(
    allotment_fixture,
    "limit, reply of the store lost, transferred part is not used")
{
    set_demand_in_west(3000);
    store_unresponsive_ = true;
    run_cell(500'000);
    for (int job = 0; job < 4; ++job)
    {
        submit("aa0" + std::to_string(job));
    }
    store_unresponsive_ = false;
    run_cell(micros_per_second);
    CHECK(running_.size() <= 1);
    CHECK(stored_part(east_) + stored_part(west_id_) <= 1000);
}

// Guards against work above the limit before the other owner's row was read.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, part is received, used after its row was read")
{
    for (int job = 0; job < 4; ++job)
    {
        submit("aa0" + std::to_string(job));
    }
    run_cell(micros_per_second);
    CHECK(running_.size() == 2);
    transfer_from_west(750, 250);
    run_cell(500'000);
    CHECK(running_.size() == 3);
}

// Guards against a shard that keeps the whole limit because it always has
// queued work.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, both shards lack capacity, each gets an equal part")
{
    transfer_from_west(1000, 0);
    set_demand_in_west(4000);
    for (int job = 0; job < 8; ++job)
    {
        submit("aa0" + std::to_string(job));
    }
    run_cell(micros_per_second);
    CHECK(running_.size() <= 4);
    // Running tasks keep their share until they end.
    std::size_t const kept = running_.size();
    running_ = std::vector<reported_run>{running_.front()};
    run_cell(100'000);
    CHECK(stored_part(east_) >= static_cast<std::int64_t>(kept) * 250 - 750);
    CHECK(stored_part(east_) + stored_part(west_id_) <= 1000);
}

// Guards against a crash: a transfer whose conflict reply shows a new owner
// drops the shard while the reply is still being processed.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, shard was taken over, former owner drops the shard")
{
    row_key const fence{"member", "0", "shard/east.0"};
    rows_[fence] = {fence,
                    write_owner({host_id("host-3"), 9, "127.0.0.1:7002", 8}),
                    ++revision_};
    set_demand_in_west(3000);
    run_cell(micros_per_second);
    CHECK(make_heartbeat(*node_).shards_.empty());
    CHECK(stored_part(east_) == -1);
}

// Guards against a new owner that uses a part which its predecessor had
// transferred, since its cached rows are older than the transfer.
TEST_CASE_FIXTURE(allotment_fixture,
                  "limit, shard taken over, parts are read from the store")
{
    rows_[key_] = {key_, write_allotment({{{east_, 250}, {west_id_, 750}}}),
                   ++revision_};
    start(2);
    auto config = std::make_shared<cell_config>(*make_config());
    config->version_ = 2;
    config->organisations_[0].share_.limit_ = {4000, 0, 0};
    post(config_changed{config});
    serve();
    for (int job = 0; job < 4; ++job)
    {
        submit("aa0" + std::to_string(job));
    }
    run_cell(2 * micros_per_second);
    CHECK(running_.size() == 1);
}

TEST_CASE("divided limit, malformed, refused with this layer's error")
{
    for (char const* const text :
         {"", "{}", R"({"parts":7})", R"({"parts":{"east":1}})",
          R"({"parts":{"east.0":"x"}})"})
    {
        CHECK_THROWS_AS(read_allotment(text), record_error);
    }
}

// Three failure domains, each of two shards and twenty targets of 64 cores. The
// organisation typically uses 400 cores, and its limit is 1.9 times that.
struct three_domain_fixture : cell_cluster_fixture
{
    resources const  limit_{760'000, 0, 0};
    resources const  task_{18'000, 1024, 0};
    int              submitted_ = 0;
    std::vector<int> gangs_;        // submission numbers, of `submit_gangs`
    std::int64_t     most_cpu_ = 0; // peak usage in `run_with_ends`

    three_domain_fixture()
    {
        executes_stops_ = true; // so that gangs end as a whole
        defaults_.domains_ = {domain_id("east"), domain_id("north"),
                              domain_id("west")};
        defaults_.targets_per_shard_ = 10;
        auto config = std::make_shared<cell_config>(*config_);
        config->organisations_[0].share_.limit_ = limit_;
        config_ = config;
        for (std::string const domain : {"east", "north", "west"})
        {
            for (int target = 0; target < 20; ++target)
            {
                std::string const rack = domain + std::to_string(target % 2);
                list_target("t-" + rack + std::to_string(target), rack, domain,
                            {64'000, 131'072, 0});
            }
            add_host(domain + "-1", 0.5, domain);
            add_host(domain + "-2", 0.5, domain);
        }
        run(6 * micros_per_second);
    }

    void submit_tasks(std::string const& host, std::uint32_t count, bool gang)
    {
        submit(host, "aa" + std::to_string(1000 + submitted_++),
               {{.count_ = count,
                 .demand_ = task_,
                 .estimate_ms_ = 1000,
                 .gang_ = gang}});
    }

    std::int64_t running_cpu()
    {
        std::int64_t used = 0;
        for (auto const& [target, runs] : running_)
        {
            used += static_cast<std::int64_t>(runs.size()) * task_.cpu_millis();
        }
        return used;
    }

    // True when all tasks of the latest job, a gang, have started.
    bool has_started(std::uint32_t count)
    {
        return count_started(submitted_ - 1) >= count;
    }

    // Number of started tasks of the job with this submission number.
    std::uint32_t count_started(int number)
    {
        job_id const  id("aa" + std::to_string(1000 + number));
        std::uint32_t found = 0;
        for (auto const& [run, starts] : starts_)
        {
            found += run.stage_.job_ == id ? 1 : 0;
        }
        return found;
    }

    // Each shard queues single tasks beyond its part of the limit.
    void fill_parts(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
        {
            for (std::string const host : {"east-1", "north-1", "west-1"})
            {
                submit_tasks(host, 14, false);
            }
        }
        run_with_ends(2 * micros_per_second);
        REQUIRE(running_cpu() > limit_.cpu_millis() / 2);
    }

    // Submits some gangs at a host of each domain.
    void submit_gangs(int each, std::uint32_t count)
    {
        for (int gang = 0; gang < each; ++gang)
        {
            for (std::string const host : {"east-1", "north-1", "west-1"})
            {
                gangs_.push_back(submitted_);
                submit_tasks(host, count, true);
            }
        }
    }

    int count_started_gangs(std::uint32_t count)
    {
        int started = 0;
        for (int const number : gangs_)
        {
            started += count_started(number) >= count ? 1 : 0;
        }
        return started;
    }

    // Runs for some time; tasks end one second after their start.
    void run_with_ends(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        constexpr std::int64_t age_ms = 1000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            most_cpu_ = std::max(most_cpu_, running_cpu());
            end_runs(age_ms);
        }
    }
};

// Guards against a gang that never starts: it needs twice the equal part of its
// organisation's limit, in one shard.
TEST_CASE_FIXTURE(
    three_domain_fixture,
    "gang above the equal part, others have spare parts, starts soon")
{
    for (std::string const host : {"east-1", "north-1", "west-1"})
    {
        for (int job = 0; job < 4; ++job)
        {
            submit_tasks(host, 2, false);
        }
    }
    run(2 * micros_per_second);
    REQUIRE(running_cpu() == 24 * task_.cpu_millis()); // 432 of 760 cores
    submit_tasks("east-1", 14, true);
    run(1'200'000); // such work should start within this time
    CHECK(has_started(14));
    CHECK(running_cpu() <= limit_.cpu_millis());
}

// Guards against a deadlock: each shard has a waiting gang, so none transfers
// the part that it needs itself.
TEST_CASE_FIXTURE(three_domain_fixture,
                  "gangs above the part in all shards, all start in turn")
{
    fill_parts(10);
    submit_gangs(4, 14);
    run_with_ends(20 * micros_per_second);
    CHECK(count_started_gangs(14) == 12);
    CHECK(most_cpu_ <= limit_.cpu_millis());
}

// Guards against gangs that start only while no other shard needs the limit.
// Each takes most of it, so only one can run at a time.
TEST_CASE_FIXTURE(three_domain_fixture,
                  "gangs of most of the limit, one at a time, all start")
{
    fill_parts(10);
    submit_gangs(2, 28); // 504 of 760 cores
    run_with_ends(30 * micros_per_second);
    CHECK(count_started_gangs(28) == 6);
    CHECK(most_cpu_ <= limit_.cpu_millis());
}

// Guards against starvation of a gang: single tasks of its organisation take
// all capacity that becomes free, in its shard and in all others.
TEST_CASE_FIXTURE(three_domain_fixture,
                  "single tasks use the limit everywhere,  gang waits, starts")
{
    fill_parts(20);
    submit_tasks("east-1", 14, true);
    run_with_ends(6 * micros_per_second);
    CHECK(has_started(14));
    CHECK(most_cpu_ <= limit_.cpu_millis());
    // Without the claim, single tasks may use the limit again.
    run_with_ends(2 * micros_per_second);
    CHECK(running_cpu() > limit_.cpu_millis() / 2);
}

// Guards against claims that are lost with their owner or stay active forever,
// and against work above the limit meanwhile.
TEST_CASE_FIXTURE(three_domain_fixture,
                  "gangs above the part, an owner is killed, all start")
{
    fill_parts(10);
    submit_gangs(4, 14);
    run_with_ends(3 * micros_per_second);
    REQUIRE(count_started_gangs(14) < 12);
    kill("north-1");
    run_with_ends(40 * micros_per_second);
    CHECK(count_started_gangs(14) == 12);
    CHECK(most_cpu_ <= limit_.cpu_millis());
}

// Guards against a gang that needs the whole limit and never starts: equal
// parts are rounded down, so six of them add up to only 996 thousandths.
TEST_CASE_FIXTURE(three_domain_fixture,
                  "gang as large as the limit, nothing else runs, starts")
{
    auto config = std::make_shared<cell_config>(*config_);
    ++config->version_;
    config->organisations_[0].share_.limit_ = {14 * 18'000, 0, 0};
    post_all(config_changed{config});
    submit_tasks("east-1", 14, true);
    run(6 * micros_per_second);
    CHECK(has_started(14));
}

// The organisation uses 180 cores in one domain; then its limit is lowered.
struct lowered_limit_fixture : three_domain_fixture
{
    static constexpr std::uint32_t long_tasks = 10;
    resources const                lowered_{150'000, 0, 0};

    lowered_limit_fixture()
    {
        submit(
            "east-1", "bb01",
            {{.count_ = long_tasks, .demand_ = task_, .estimate_ms_ = 60'000}});
        run(3 * micros_per_second);
        REQUIRE(running_cpu() == long_tasks * task_.cpu_millis());
    }

    void set_limit(resources const& limit)
    {
        auto config = std::make_shared<cell_config>(*config_);
        ++config->version_;
        config->organisations_[0].share_.limit_ = limit;
        config_ = config;
        post_all(config_changed{config});
    }

    // Returns the submission number of the first one.
    int submit_elsewhere()
    {
        int const first = submitted_;
        submit_tasks("north-1", 3, false);
        submit_tasks("west-1", 3, false);
        return first;
    }

    bool have_started(int first)
    {
        return count_started(first) == 3 && count_started(first + 1) == 3;
    }
};

// Guards against starts above a lowered limit: each shard kept within its part,
// but one used several times its own.
TEST_CASE_FIXTURE(lowered_limit_fixture,
                  "limit lowered below the use of one shard, others start "
                  "nothing until that ends")
{
    set_limit(lowered_);
    int const first = submit_elsewhere();
    run(8 * micros_per_second);
    CHECK(running_cpu() == long_tasks * task_.cpu_millis());
    // Then they get their parts back.
    end_runs(0);
    most_cpu_ = 0;
    run_with_ends(3 * micros_per_second);
    CHECK(have_started(first));
    CHECK(most_cpu_ <= lowered_.cpu_millis());
}

// Guards against the same starts by hosts that begin to wait only with a reply
// of the store.
TEST_CASE_FIXTURE(lowered_limit_fixture,
                  "limit lowered below the use of one shard, work waits "
                  "elsewhere, nothing starts from then on")
{
    int const first = submit_elsewhere();
    set_limit(lowered_);
    run(2 * micros_per_second);
    CHECK(count_started(first) + count_started(first + 1) == 0);
}

// Guards against starts above the limit while the shard that uses most of it
// changes owners: the next one doesn't know at once what runs.
TEST_CASE_FIXTURE(lowered_limit_fixture,
                  "limit lowered, owner of the running work killed, others "
                  "start nothing")
{
    set_limit(lowered_);
    run(micros_per_second);
    int const first = submit_elsewhere();
    kill("east-1");
    run(3 * micros_per_second);
    kill("north-1");
    run(4 * micros_per_second);
    CHECK(count_started(first) + count_started(first + 1) == 0);
}

// Guards against work that waits although the limit allows it again.
TEST_CASE_FIXTURE(lowered_limit_fixture,
                  "limit lowered and raised again, others start within 2 s")
{
    set_limit(lowered_);
    int const first = submit_elsewhere();
    run(3 * micros_per_second);
    CHECK(count_started(first) + count_started(first + 1) == 0);
    set_limit(limit_);
    run(2 * micros_per_second);
    CHECK(have_started(first));
}

// Guards against a limit of which a part is of no use: the others may use what
// the running work leaves.
TEST_CASE_FIXTURE(lowered_limit_fixture,
                  "limit lowered to slightly more than one shard uses, the "
                  "rest is used")
{
    set_limit({240'000, 0, 0});
    submit_elsewhere();
    run(4 * micros_per_second);
    CHECK(running_cpu() > 200'000);
    CHECK(running_cpu() <= 240'000);
}

} // namespace
} // namespace fescuevane::cell

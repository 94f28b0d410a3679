// Purpose: tests of gangs that run on several shards.
#include "cell_offers_fixture.hpp"

#include <doctest/doctest.h>
#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// A gang of 13 tasks, of which each shard may run four.
struct spread_fixture : offers_fixture
{
    static constexpr std::uint32_t width = 13;
    static constexpr std::int64_t  long_run_ms = 16'000;

    std::string const       id_ = "aa01";
    std::set<std::uint32_t> started_runs_; // numbers of runs
    int  overlapping_starts_ = 0;          // starts beside an earlier run
    int  late_ = 0;        // starts over a second after the first
    bool instant_ = false; // tasks of the gang end once all of them run
    bool was_done_ = false;
    int  repeats_ = 0; // starts after a run was done

    spread_fixture() { allow(id_, {1, 1, 1, 1, 1, 1, 1, 1}); }

    order_reply answer_start(send_start const& start) override
    {
        run_key const& run = start.start_.run_;
        if (run.stage_.job_ == job_id(id_))
        {
            started_runs_.insert(run.run_);
            repeats_ += was_done_ ? 1 : 0;
            for (auto const& [target, runs] : running_)
            {
                for (reported_run const& other : runs)
                {
                    overlapping_starts_ += other.run_.stage_ == run.stage_ &&
                                                   other.run_.run_ != run.run_
                                               ? 1
                                               : 0;
                }
            }
            for (auto const& [other, at] : started_)
            {
                late_ += other.stage_ == run.stage_ && other.run_ == run.run_ &&
                                 at + 1000 < unix_ms_
                             ? 1
                             : 0;
            }
        }
        order_reply reply = offers_fixture::answer_start(start);
        if (instant_ && find_begin(run))
        {
            end_runs(0);
            was_done_ = true;
        }
        return reply;
    }

    void submit_gang() { submit("h-1", id_, {make_step(width, true)}); }

    // Ticks until all tasks of the gang run, for at most ten seconds.
    void run_until_started(std::size_t tasks = width)
    {
        constexpr int steps = 100;
        for (int step = 0; step < steps && count_running(id_) < tasks; ++step)
        {
            run(100'000);
        }
    }

    // One task of the gang fails, which ends the others.
    void fail_gang()
    {
        bool failed = false;
        for (auto& [target, runs] : running_)
        {
            std::vector<reported_run> rest;
            for (reported_run const& run : runs)
            {
                if (run.run_.stage_.job_ != job_id(id_))
                {
                    rest.push_back(run);
                    continue;
                }
                ended_[target].push_back(
                    {++ends_[target], run.run_,
                     failed ? run_end::broken : run_end::failed, ""});
                failed = true;
            }
            runs.swap(rest);
        }
    }

    std::optional<job_phase> look_up(std::string const& host)
    {
        std::uint64_t const call = ask(host, call_kind::lookup, id_);
        run(3 * micros_per_second);
        auto const answer = find_answer(host, call);
        return answer ? std::optional(answer->phase_) : std::nullopt;
    }

    // Hosts that own the shards of the gang's running tasks.
    std::set<std::string> list_running_hosts()
    {
        std::set<std::string> hosts;
        for (auto const& [target, runs] : running_)
        {
            for (reported_run const& run : runs)
            {
                if (run.run_.stage_.job_ == job_id(id_))
                {
                    hosts.insert(find_owner(target));
                }
            }
        }
        return hosts;
    }

    // Host that divides the gang, or empty.
    std::string find_spreading_host()
    {
        for (auto const& [name, address] : addresses_)
        {
            if (find(name).node_ && !find(name).node_->spreads_.empty())
            {
                return name;
            }
        }
        return "";
    }

    std::string find_owner(target_id const& target)
    {
        for (auto const& [name, address] : addresses_)
        {
            for (std::uint32_t shard = 0; shard < shards; ++shard)
            {
                std::vector<target_id> const all = list_targets(shard);
                if (std::find(all.begin(), all.end(), target) != all.end() &&
                    find(name).node_ &&
                    owns(*find(name).node_, {domain_id("east"), shard},
                         owned_phase::serving))
                {
                    return name;
                }
            }
        }
        return "";
    }
};

// Guards against parts of a gang that start under different numbers, or so far
// apart that the first ones end alone.
TEST_CASE_FIXTURE(spread_fixture,
                  "wide gang, submitted, all parts start as one run")
{
    submit_gang();
    run_until_started();
    CHECK(count_running(id_) == width);
    CHECK(started_runs_.size() == 1);
    CHECK(late_ == 0);
    CHECK(invalid_tickets_ == 0);
    run(micros_per_second);
    end_runs(run_ms);
    run(2 * micros_per_second);
    CHECK(look_up("h-2") == job_phase::completed);
    CHECK(count_starts(id_) == width);
}

// Guards against a gang that never starts because its own shard, too small for
// all of it, doesn't request advice on its own targets.
TEST_CASE_FIXTURE(spread_fixture,
                  "gang needs room in every shard, submitted, started")
{
    constexpr std::uint32_t all = 32;
    submit("h-1", id_, {make_step(all, true)});
    run_until_started(all);
    CHECK(count_running(id_) == all);
    CHECK(started_runs_.size() == 1);
}

// Guards against a gang that restarts while parts of its last run remain, and
// against a failure that is counted once for each part, or not at all.
TEST_CASE_FIXTURE(spread_fixture,
                  "wide gang, a task fails each time, given up at the limit")
{
    constexpr std::size_t max_attempts = 3;
    submit_gang();
    for (std::size_t attempt = 1; attempt <= max_attempts; ++attempt)
    {
        CAPTURE(attempt);
        run_until_started();
        REQUIRE(count_running(id_) == width);
        CHECK(started_runs_.size() == attempt);
        fail_gang();
        run(micros_per_second);
    }
    run(20 * micros_per_second);
    CHECK(started_runs_.size() == max_attempts);
    CHECK(overlapping_starts_ == 0);
    CHECK(look_up("h-2") == job_phase::failed);
}

// Guards against tasks that run on after their job was canceled, in shards that
// only have parts of it.
TEST_CASE_FIXTURE(spread_fixture, "wide gang, canceled, all parts stop")
{
    submit_gang();
    run_until_started();
    REQUIRE(count_running(id_) == width);
    ask("h-3", call_kind::cancel, id_);
    run(2 * micros_per_second);
    CHECK(count_running(id_) == 0);
    run(10 * micros_per_second);
    CHECK(count_starts(id_) == width);
}

// Guards against a gang that runs twice, or is lost, when an owner of the gang
// or of one of its parts is killed while it runs.
TEST_CASE_FIXTURE(spread_fixture,
                  "wide gang, a host dies while it runs, ends once")
{
    std::string host;
    SUBCASE("h-1")
    {
        host = "h-1";
    }
    SUBCASE("h-2")
    {
        host = "h-2";
    }
    SUBCASE("h-3")
    {
        host = "h-3";
    }
    SUBCASE("h-4")
    {
        host = "h-4";
    }
    submit_gang();
    run_until_started();
    REQUIRE(count_running(id_) == width);
    kill(host);
    run_long_work(3 * micros_per_second, long_run_ms);
    start(host);
    run_long_work(10 * micros_per_second, long_run_ms);
    CHECK(count_running(id_) == width);
    run_long_work(10 * micros_per_second, long_run_ms);
    CHECK(look_up("h-2") == job_phase::completed);
    CHECK(count_starts(id_) == width);
    CHECK(overlapping_starts_ == 0);
}

// Guards against runs that are treated as unknown, and stopped, because a part
// submitted by a later owner of the gang seems to belong to later runs.
TEST_CASE_FIXTURE(spread_fixture,
                  "wide gang, owner dies before its parts are accepted, starts")
{
    // Its own host has no part, since one that a former owner accepted ends.
    allowed_.clear();
    allow(id_, {1, 1, 0, 1, 1, 1, 0, 1});
    submit_gang();
    while (find_spreading_host().empty())
    {
        run(tick_micros_);
    }
    lost_every_ = 1;
    run(micros_per_second / 2);
    std::string const host = find_spreading_host();
    kill(host);
    lost_every_ = 0;
    run(micros_per_second);
    start(host);
    run_until_started();
    run_long_work(10 * micros_per_second, long_run_ms);
    CHECK(started_runs_.size() == 1);
    CHECK(count_running(id_) == width);
    CHECK(count_starts(id_) == width);
}

// Guards against a gang that waits forever, or runs twice, when all hosts lose
// power while its parts are delegated, gather room, start or run.
TEST_CASE_FIXTURE(spread_fixture,
                  "wide gang, all hosts restart at any moment, ends")
{
    constexpr std::int64_t step_micros = 400'000;
    constexpr int          moments = 12;
    for (int moment = 1; moment <= moments; ++moment)
    {
        CAPTURE(moment);
        spread_fixture cell;
        cell.submit_gang();
        cell.run(moment * step_micros);
        for (auto const& [name, address] : cell.addresses_)
        {
            cell.kill(name);
        }
        cell.run(micros_per_second);
        for (auto const& [name, address] : cell.addresses_)
        {
            cell.start(name);
        }
        for (int second = 0; second < 60; ++second)
        {
            cell.run_work(micros_per_second);
        }
        CHECK(cell.overlapping_starts_ == 0);
        CHECK(cell.look_up("h-2") == job_phase::completed);
    }
}

struct marked_fixture : spread_fixture
{
    bool has_row(std::string const& key, bool whole, std::string const& text)
    {
        return std::any_of(
            rows_.begin(), rows_.end(),
            [&](auto const& row)
            {
                return row.first.table_ == "job" &&
                       (whole ? row.first.key_ == key
                              : row.first.key_.starts_with(key)) &&
                       row.second.value_.find(text) != std::string::npos;
            });
    }

    // Restarts all hosts once the marks of the parts are stored, and before a
    // shard has accepted one of them. `shard` may not run tasks of the gang.
    void restart_when_marked(std::uint32_t shard)
    {
        constexpr int            steps = 1000;
        std::vector<std::size_t> targets(shards, 2);
        targets.at(shard) = 0;
        allowed_.clear();
        allow(id_, targets);
        submit_gang();
        for (int step = 0; step < steps && !has_row(id_, true, "\"g\":");
             ++step)
        {
            run(tick_micros_);
        }
        REQUIRE(has_row(id_, true, "\"g\":"));
        REQUIRE(!has_row(id_ + "~", false, ""));
        for (auto const& [name, address] : addresses_)
        {
            kill(name);
        }
        run(micros_per_second);
        for (auto const& [name, address] : addresses_)
        {
            start(name);
        }
    }
};

// Guards against parts whose runs are attributed to another job and stopped: a
// part that was submitted again declared a first run above its actual one.
TEST_CASE("wide gang, hosts restart after its marks are stored, starts once")
{
    for (std::uint32_t shard = 0; shard < spread_fixture::shards; ++shard)
    {
        CAPTURE(shard);
        marked_fixture cell;
        cell.restart_when_marked(shard);
        for (int second = 0; second < 60; ++second)
        {
            cell.run_work(micros_per_second);
        }
        CHECK(cell.overlapping_starts_ == 0);
        CHECK(cell.look_up("h-2") == job_phase::completed);
        CHECK(cell.count_starts(cell.id_) == spread_fixture::width);
    }
}

// The same for tasks that end before their target's next report: guards against
// ends that aren't counted, so that finished tasks start again.
TEST_CASE(
    "short wide gang, hosts restart after its marks are stored, done once")
{
    for (std::uint32_t shard = 0; shard < spread_fixture::shards; ++shard)
    {
        CAPTURE(shard);
        marked_fixture cell;
        cell.restart_when_marked(shard);
        cell.instant_ = true;
        cell.run(60 * micros_per_second);
        CHECK(cell.was_done_);
        CHECK(cell.repeats_ == 0);
        CHECK(cell.look_up("h-2") == job_phase::completed);
    }
}

// Guards against a gang that starves beside single tasks of its organisation:
// each part claims room within the limit, and only one claim of an organisation
// is active at a time.
TEST_CASE("wide gang of half the limit, single tasks queue everywhere, starts" *
          doctest::test_suite("limit_gangs"))
{
    constexpr std::int64_t age_ms = 1000;
    std::size_t            targets = 0;
    SUBCASE("one shard may hold it")
    {
        targets = 4;
    }
    SUBCASE("several shards have to")
    {
        targets = 2;
    }
    spread_fixture cell;
    auto           config = std::make_shared<cell_config>(*cell.config_);
    ++config->version_;
    config->organisations_[0].share_.limit_ = {26'000, 0, 0};
    cell.config_ = config;
    cell.post_all(config_changed{config});
    cell.run(2 * micros_per_second);
    int singles = 0;
    int first = -1;
    for (int tenth = 0; tenth < 900 && first < 0; ++tenth)
    {
        for (std::string const host : {"h-1", "h-2", "h-3", "h-4"})
        {
            if (tenth % 10 == 0)
            {
                cell.submit(host, "cc" + std::to_string(1000 + singles++),
                            {{.count_ = 6,
                              .demand_ = {1000, 512, 0},
                              .estimate_ms_ = 1000}});
            }
        }
        if (tenth == 50)
        {
            cell.allowed_.clear();
            cell.allow(cell.id_, std::vector<std::size_t>(
                                     spread_fixture::shards, targets));
            cell.submit_gang();
        }
        cell.run(100'000);
        cell.end_runs(age_ms);
        if (cell.count_started(cell.id_) == spread_fixture::width)
        {
            first = tenth;
        }
    }
    CHECK(first >= 0);
}

// Wide gangs, submitted to the hosts in turn. There is room for eight at once.
struct many_gangs_fixture : offers_fixture
{
    static constexpr std::uint32_t width = 13;
    static constexpr std::int64_t  age_ms = 2000;

    std::set<std::string> waiting_; // jobs of which the gang hasn't started

    void submit_gangs(int gangs)
    {
        for (int gang = 0; gang < gangs; ++gang)
        {
            std::string const id = "bb" + std::to_string(100 + gang);
            // One target of each shard, with room for four tasks.
            for (std::uint32_t shard = 0; shard < shards; ++shard)
            {
                allowed_[job_id(id)].insert(
                    list_targets(shard).at((gang + shard) % shard_targets));
            }
            submit("h-" + std::to_string(1 + gang % 4), id,
                   {make_step(width, true)});
            waiting_.insert(id);
        }
    }

    void run_gangs(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            end_runs(age_ms);
            std::erase_if(waiting_,
                          [this](std::string const& id)
                          {
                              return count_running(id) == width;
                          });
        }
    }
};

// Guards against wide gangs that keep each other from starting: the parts of
// all of them request advice in turn, and tickets expire before a gang has all
// of its own.
TEST_CASE_FIXTURE(
    many_gangs_fixture,
    "32 wide gangs, room for eight at once, all start in a minute" *
        doctest::test_suite("many_gangs"))
{
    submit_gangs(32);
    run_gangs(60 * micros_per_second);
    CHECK(waiting_.size() == 0);
}

// Guards against parts without reserved room that renew their tickets, and so
// delay the requests of the gangs that hold all of theirs.
TEST_CASE_FIXTURE(
    many_gangs_fixture,
    "16 wide gangs, room for eight at once, all start in a minute")
{
    submit_gangs(16);
    run_gangs(60 * micros_per_second);
    CHECK(waiting_.size() == 0);
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of what a new owner knows about targets on which former owners
// started work.
#include "cell_fixture.hpp"

#include "cell/record_error.hpp"
#include "cell/records.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

namespace fescuevane::cell
{
namespace
{

struct grants_fixture : cell_fixture
{
    row_key const grants_{"grant", "0", "east.0"};
    run_key       run_; // of the job, on t-1

    // Runs the job on t-1; then another host takes the shard over and releases
    // it.
    void start_job()
    {
        serve();
        submit("aa01");
        run(50'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        REQUIRE(starts[0].start_.target_ == target_id("t-1"));
        run_ = starts[0].start_.run_;
        post(order_reply{.request_ = starts[0].request_,
                         .outcome_ = target_outcome::done});
        run(50'000);
    }

    void store_owner(epoch number, bool released)
    {
        row_key const key{"member", "0", "shard/east.0"};
        rows_[key] = {key,
                      write_owner({host_id("host-2"), 5, "127.0.0.1:7001",
                                   number, released, host_id("host-1")}),
                      ++revision_};
    }

    // A process that starts while t-1 isn't listed takes the shard over.
    void take_over_without_t1()
    {
        store_owner(6, true);
        start(3);
        list_target("t-2");
        commands_.clear();
    }

    // Runs for `micros`; t-2 responds, and t-1 while `reached`.
    void run_targets(std::int64_t micros, bool reached,
                     std::vector<reported_run> const& runs = {},
                     std::vector<reported_end> const& ends = {})
    {
        constexpr std::int64_t step = 50'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                if (hold.target_ == target_id("t-2"))
                {
                    answer_hold(hold);
                }
                else
                {
                    reached ? answer_hold(hold, runs, ends) : fail_hold(hold);
                }
            }
        }
    }

    // Unlists t-2 while the stored row names it.
    void serve_and_unlist_t2()
    {
        serve();
        list_target("t-2");
        run_targets(micros_per_second, true);
        REQUIRE(list_stored().contains(target_id("t-2")));
        post(target_unlisted{target_id("t-2")});
    }

    // Runs until t-2, which is unresponsive, is given up and removed from the
    // row.
    void run_until_removed()
    {
        constexpr std::int64_t step = 100'000;
        for (int round = 0;
             round < 300 && list_stored().contains(target_id("t-2")); ++round)
        {
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                hold.target_ == target_id("t-1") ? answer_hold(hold)
                                                 : fail_hold(hold);
            }
        }
        REQUIRE_FALSE(list_stored().contains(target_id("t-2")));
    }

    std::set<target_id> list_stored()
    {
        std::set<target_id> names;
        for (auto const& [id, info] : read_grants(rows_.at(grants_).value_))
        {
            names.insert(id);
        }
        return names;
    }
};

// Guards against tasks that run twice: a target that was cut off left the list
// before the next owner of its shard started, and kept running.
TEST_CASE_FIXTURE(
    grants_fixture,
    "target unlisted before owner started, its run isn't repeated")
{
    start_job();
    take_over_without_t1();
    run_targets(5 * micros_per_second, true, {{run_, "", 30, 0}});
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    CHECK(take<send_start>().empty());
}

// Guards against the same for an end that the former owner couldn't store: a
// successful task that starts again runs twice, a failed one exceeds its
// attempts.
TEST_CASE_FIXTURE(grants_fixture,
                  "end on target unlisted before owner started, is reported")
{
    start_job();
    take_over_without_t1();
    run_targets(2 * micros_per_second, false);
    CHECK(take<send_start>().empty());
    run_targets(micros_per_second, true, {}, {{1, run_, run_end::done, ""}});
    CHECK(take<send_start>().empty());
    auto const call = ask(call_kind::lookup, "aa01");
    run_targets(micros_per_second, true);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

// Guards against work that never restarts because its target never comes back.
TEST_CASE_FIXTURE(grants_fixture,
                  "unlisted target never reached, its work starts elsewhere")
{
    start_job();
    take_over_without_t1();
    run_targets(16 * micros_per_second, false);
    CHECK(take<send_start>().size() == 1);
    run_targets(3 * micros_per_second, false);
    CHECK(list_stored() == std::set{target_id("t-2")});
}

// Guards against work of a whole shard that waits for targets which were
// replaced in an orderly way before its owner was: no ends of them can be
// reported any more.
TEST_CASE_FIXTURE(
    grants_fixture,
    "target announced that it leaves, owner restarted, work goes on")
{
    start_job();
    list_target("t-1", true);
    run_targets(100'000, true, {{run_, "", 30, 0}});
    take_over_without_t1();
    run_targets(7 * micros_per_second, false);
    CHECK(take<send_start>().size() == 1);
}

// Guards against the opposite: the target no longer announces that it leaves
// but the stored row still says so, and the next owner wouldn't wait for it.
TEST_CASE_FIXTURE(grants_fixture,
                  "target stays after all, nothing starts before it is stored")
{
    serve();
    list_target("t-1", true);
    run_targets(100'000, true);
    store_delayed_ = true;
    list_target("t-1");
    run_targets(100'000, true);
    REQUIRE_FALSE(held_.empty());
    store_reply const late = held_.back();
    held_.clear();
    store_delayed_ = false;
    submit("aa01");
    run_targets(300'000, true);
    CHECK(take<send_start>().empty());
    post(late);
    run_targets(300'000, true);
    CHECK(take<send_start>().size() == 1);
}

// Guards against starts on a target that the stored row doesn't name: the next
// owner can't know of them.
TEST_CASE_FIXTURE(grants_fixture,
                  "row of leases not stored, nothing starts on the target")
{
    serve();
    store_delayed_ = true;
    list_target("t-2");
    run(50'000);
    store_reply const late = held_.back();
    held_.clear();
    store_delayed_ = false;
    run_targets(micros_per_second, false);
    for (char const* const id : {"aa01", "aa02", "aa03", "aa04", "aa05"})
    {
        submit(id);
    }
    run(100'000);
    for (send_start const& start : take<send_start>())
    {
        CHECK(start.start_.target_ == target_id("t-1"));
    }
    post(late);
    run_targets(micros_per_second, false);
    std::set<target_id> started;
    for (send_start const& start : take<send_start>())
    {
        started.insert(start.start_.target_);
    }
    CHECK(started.contains(target_id("t-2")));
}

// Guards against work that waits for a target on which no owner started any.
TEST_CASE_FIXTURE(grants_fixture,
                  "target without leases not reached, work doesn't wait for it")
{
    start_job();
    store_owner(6, true);
    start(3);
    list_target("t-1");
    list_target("t-3"); // newly listed and unresponsive
    commands_.clear();
    constexpr std::int64_t step = 50'000;
    for (int round = 0; round < 40; ++round)
    {
        run(step);
        for (hold_target const& hold : take<hold_target>())
        {
            hold.target_ == target_id("t-1") ? answer_hold(hold)
                                             : fail_hold(hold);
        }
    }
    CHECK(take<send_start>().size() == 1);
}

// Guards against starts that the next owner can't know of: they were queued for
// a target, and sent to its new address before the row named it.
TEST_CASE_FIXTURE(grants_fixture,
                  "target has another address, starts wait until it is stored")
{
    settings_.orders_open_ = 1;
    start(1);
    serve();
    for (char const* const id : {"aa01", "aa02"})
    {
        submit(id);
    }
    run(100'000);
    auto const first = take<send_start>();
    REQUIRE(first.size() == 1);
    store_delayed_ = true;
    post(target_listed{{.id_ = target_id("t-1"),
                        .address_ = "127.0.0.1:8001",
                        .domain_ = domain_id("east"),
                        .service_ = service_id("desk"),
                        .rack_ = rack_id("r-1"),
                        .capacity_ = {4000, 8192, 0}}});
    run(20'000);
    post(order_reply{.request_ = first[0].request_,
                     .outcome_ = target_outcome::done});
    run(100'000);
    CHECK(take<send_start>().empty());
    deliver_store_replies();
    run(100'000);
    auto const second = take<send_start>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].address_ == "127.0.0.1:8001");
}

// Guards against a second owner's row that is overwritten by a delayed write.
TEST_CASE_FIXTURE(grants_fixture,
                  "write of the row unanswered, target is usable after a while")
{
    serve();
    store_unresponsive_ = true;
    list_target("t-2");
    run(50'000);
    store_unresponsive_ = false;
    run_targets(micros_per_second, true);
    CHECK(list_stored() == std::set{target_id("t-1"), target_id("t-2")});
    for (char const* const id : {"aa01", "aa02", "aa03", "aa04", "aa05"})
    {
        submit(id);
    }
    run(100'000);
    std::set<target_id> started;
    for (send_start const& start : take<send_start>())
    {
        started.insert(start.start_.target_);
    }
    CHECK(started.size() == 2);
}

// Guards against starts that the next owner can't know of: the unanswered write
// that removed the target was performed, and the target came back.
TEST_CASE_FIXTURE(grants_fixture,
                  "removal of target unanswered, nothing starts on it")
{
    serve_and_unlist_t2();
    store_unresponsive_ = true;
    run_until_removed();
    store_unresponsive_ = false;
    list_target("t-2");
    std::set<target_id> started;
    for (int round = 0; round < 100; ++round)
    {
        if (round == 50)
        {
            for (char const* const id : {"aa1", "aa2", "aa3", "aa4", "aa5"})
            {
                submit(id);
            }
        }
        run(20'000);
        for (send_start const& start : take<send_start>())
        {
            CHECK(list_stored().contains(start.start_.target_));
            started.insert(start.start_.target_);
        }
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold);
        }
    }
    CHECK(started.contains(target_id("t-2")));
}

// Guards against starts that the next owner can't know of: the target came back
// when the write that removes it had been performed but not answered yet.
TEST_CASE_FIXTURE(
    grants_fixture,
    "target back while its removal is pending, nothing starts on it")
{
    serve_and_unlist_t2();
    store_delayed_ = true;
    run_until_removed();
    store_delayed_ = false; // the reply to that write is still pending
    list_target("t-2");
    for (char const* const id : {"aa1", "aa2", "aa3", "aa4", "aa5"})
    {
        submit(id);
    }
    for (int round = 0; round < 50; ++round)
    {
        run(20'000);
        for (send_start const& start : take<send_start>())
        {
            CHECK(list_stored().contains(start.start_.target_));
        }
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold);
        }
    }
}

// Guards against rows that a new owner can't read.
TEST_CASE("row of leases written and read is the same")
{
    CHECK(rc::check(
        [](std::vector<std::pair<std::uint16_t, std::uint16_t>> const& list)
        {
            granted_targets targets;
            for (auto const& [number, cpu] : list)
            {
                target_id const id("t-" + std::to_string(number));
                targets[id] = std::make_shared<listed_target const>(
                    listed_target{.id_ = id,
                                  .address_ = "127.0.0.1:8000",
                                  .domain_ = domain_id("east"),
                                  .service_ = service_id("desk"),
                                  .rack_ = rack_id("r-1"),
                                  .labels_ = {"a", "b"},
                                  .capacity_ = {cpu, 8192, 1}});
            }
            granted_targets const read = read_grants(write_grants(targets));
            RC_ASSERT(read.size() == targets.size());
            for (auto const& [id, info] : targets)
            {
                RC_ASSERT(*read.at(id) == *info);
            }
        }));
}

TEST_CASE("row of leases malformed, is an error")
{
    CHECK_THROWS_AS(read_grants("{"), record_error);
    CHECK_THROWS_AS(read_grants(R"({"targets":[{"id":7}]})"), record_error);
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of releasing shards to other hosts.
#include "cell_fixture.hpp"

#include "cell/records.hpp"

#include <doctest/doctest.h>
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// The node serves east; only one order to its target is open at a time.
struct release_fixture : cell_fixture
{
    row_key const row_{"member", "0", "shard/east.0"};
    host_id const other_{"host-2"};

    release_fixture()
    {
        settings_.orders_open_ = 1;
        store_host("host-2");
        start(1);
        serve();
    }

    void report_other(bool stopping = false)
    {
        post(heartbeat_received{
            {.host_ = other_, .incarnation_ = 5, .stopping_ = stopping}});
    }

    bool is_released() { return read_owner(rows_.at(row_).value_).released_; }

    // True while the node's heartbeat says that it serves the shard.
    bool is_serving()
    {
        heartbeat const beat = make_heartbeat(*node_);
        return !beat.shards_.empty() && beat.shards_[0].serving_;
    }

    // Replies to all hold calls so far.
    void answer_target()
    {
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold);
        }
    }

    std::size_t count_leases(std::vector<hold_target> const& holds)
    {
        return static_cast<std::size_t>(
            std::count_if(holds.begin(), holds.end(),
                          [](hold_target const& hold)
                          {
                              return hold.lease_clock_ms_ > 0;
                          }));
    }

    // Runs while the target replies. Returns the number of leases granted.
    std::size_t run_target(std::int64_t micros)
    {
        constexpr std::int64_t step = 20'000;
        std::size_t            leases = 0;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            auto const holds = take<hold_target>();
            leases += count_leases(holds);
            for (hold_target const& hold : holds)
            {
                answer_hold(hold);
            }
        }
        return leases;
    }
};

// Guards against tasks that run twice: an owner renews leases after its release
// was stored, while the next owner relies on its having stopped.
TEST_CASE_FIXTURE(release_fixture,
                  "release stored without a reply, no lease is renewed")
{
    REQUIRE(run_target(200'000) > 0);
    store_unresponsive_ = true;
    post(stop_requested{});
    tick();
    REQUIRE(is_released());
    answer_target();
    CHECK(run_target(3 * micros_per_second) == 0);
}

// The same while the reply is still in flight.
TEST_CASE_FIXTURE(release_fixture,
                  "release stored, reply in flight,  no lease is renewed")
{
    REQUIRE(run_target(200'000) > 0);
    store_delayed_ = true;
    post(stop_requested{});
    tick();
    REQUIRE(is_released());
    answer_target();
    CHECK(run_target(3 * micros_per_second) == 0);
    deliver_store_replies();
    run(20'000);
    CHECK(is_stopped(*node_));
}

// Guards against tasks that run twice: queued starts are sent after the
// release.
TEST_CASE_FIXTURE(
    release_fixture,
    "release stored without a reply, starts are queued, none is sent")
{
    submit("aa01");
    submit("aa02");
    run(200'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1); // the other one is queued
    store_unresponsive_ = true;
    post(stop_requested{});
    tick();
    REQUIRE(is_released());
    post(order_reply{.request_ = starts[0].request_,
                     .outcome_ = target_outcome::done});
    run(100'000);
    CHECK(take<send_start>().empty());
}

// Guards against two owners: after a stored release without a reply, the former
// owner resumes serving the shard because the store is unresponsive.
TEST_CASE_FIXTURE(release_fixture,
                  "release without a reply, store lost, isn't revoked")
{
    settings_.cpu_share_ = 0.1; // host-2 has a larger share left
    start(2);
    list_target("t-1");
    for (int round = 0; round < 100 && !is_serving(); ++round)
    {
        report_other();
        run_target(20'000);
    }
    REQUIRE(is_serving());
    store_unresponsive_ = true;
    for (int round = 0; round < 100 && !is_released(); ++round)
    {
        report_other();
        run_target(20'000);
    }
    REQUIRE(is_released());
    bool stopping = false;
    SUBCASE("the successor runs") {}
    SUBCASE("the successor stops")
    {
        stopping = true;
    }
    report_other(stopping);
    answer_target();
    for (int round = 0; round < 100; ++round)
    {
        report_other(stopping);
        CHECK(run_target(20'000) == 0);
        CHECK_FALSE(is_serving());
    }
    store_unresponsive_ = false;
    run(settings_.store_retry_micros_ + 20'000);
    CHECK(make_heartbeat(*node_).shards_.empty());
}

// Guards against long stops without a reason in the log.
TEST_CASE_FIXTURE(release_fixture,
                  "release without a reply, is described as what a stop "
                  "waits for")
{
    using fields = std::vector<std::pair<std::string, std::string>>;
    CHECK(describe_stop(*node_) == fields{{"shards", "1"}});
    store_delayed_ = true;
    post(stop_requested{});
    tick();
    CHECK(describe_stop(*node_) == fields{{"shards", "1"}, {"owner_row", "1"}});
    deliver_store_replies();
    run(20'000);
    CHECK(describe_stop(*node_) == fields{{"shards", "0"}});
}

// The same for a row of the journal.
TEST_CASE_FIXTURE(release_fixture,
                  "journal without a reply, is described as what a stop "
                  "waits for")
{
    store_delayed_ = true;
    submit("aa01");
    post(stop_requested{});
    tick();
    auto const waits = describe_stop(*node_);
    CHECK(std::count(waits.begin(), waits.end(),
                     std::pair<std::string, std::string>("journal", "1")) == 1);
}

// Guards against overloading a recovering store: stopping hosts would retry
// right after each refusal.
TEST_CASE_FIXTURE(release_fixture,
                  "release refused by the store, repeated after a pause")
{
    store_down_ = true;
    post(stop_requested{});
    commands_.clear();
    run(micros_per_second);
    auto const        writes = take<store_transact>();
    std::size_t const most =
        1 + static_cast<std::size_t>(micros_per_second /
                                     settings_.store_retry_micros_);
    CHECK(writes.size() > 1);
    CHECK(writes.size() <= most);
    store_down_ = false;
    run(settings_.store_retry_micros_ + 20'000);
    CHECK(is_released());
    CHECK(is_stopped(*node_));
}

// Guards against work that stops without need: a release that the store refused
// has not taken effect.
TEST_CASE_FIXTURE(release_fixture,
                  "release refused by the store, leases are renewed")
{
    REQUIRE(run_target(200'000) > 0);
    store_down_ = true;
    post(stop_requested{});
    run_target(100'000);
    CHECK_FALSE(is_released());
    CHECK(run_target(3 * micros_per_second) > 0);
}

// A gang of three, of which one start was sent.
struct gang_release_fixture : release_fixture
{
    std::vector<send_start> starts_;

    gang_release_fixture()
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id("aa01"),
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job_id("aa01"),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("orders"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {{.count_ = 3,
                                         .demand_ = {1000, 512, 0},
                                         .estimate_ms_ = 1000,
                                         .gang_ = true}},
                             .accepted_unix_ms_ = unix_ms_}),
                         .deadline_ = now_.after(3 * micros_per_second)});
        run(200'000);
        starts_ = take<send_start>();
        REQUIRE(starts_.size() == 1); // the others are queued
    }
};

// Guards against an incomplete gang: the shard is handed over while some starts
// of the gang are still queued, and the started tasks wait for the others.
TEST_CASE_FIXTURE(
    gang_release_fixture,
    "starts of a gang are queued, shard is handed over, all are sent")
{
    post(stop_requested{});
    std::size_t sent = 0;
    for (int round = 0; round < 10 && !starts_.empty(); ++round)
    {
        sent += starts_.size();
        run(50'000);
        for (send_start const& start : starts_)
        {
            post(order_reply{.request_ = start.request_,
                             .outcome_ = target_outcome::done});
        }
        run(50'000);
        starts_ = take<send_start>();
    }
    CHECK(sent == 3);
    CHECK(is_released());
}

// Guards against a shard that is never handed over: a target doesn't reply
// while starts of a gang are queued.
TEST_CASE_FIXTURE(
    gang_release_fixture,
    "starts of a gang are queued, target unresponsive, released in time")
{
    post(stop_requested{});
    for (int round = 0; round < 40 && !is_released(); ++round)
    {
        run(100'000);
        for (hold_target const& hold : take<hold_target>())
        {
            fail_hold(hold);
        }
        for (send_start const& start : take<send_start>())
        {
            post(order_reply{.request_ = start.request_,
                             .outcome_ = target_outcome::unknown});
        }
    }
    CHECK(is_released());
}

// A run on the target whose stop was ordered, and another host that can take
// the shard over.
struct stop_release_fixture : release_fixture
{
    run_key                run_;   // it runs on the target
    std::vector<send_stop> stops_; // without a reply so far

    stop_release_fixture()
    {
        submit("aa01");
        run(100'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        run_ = starts[0].start_.run_;
        answer(starts[0].request_, target_outcome::done);
        run(100'000);
        ask(call_kind::cancel, "aa01");
        run(100'000);
        stops_ = take<send_stop>();
        REQUIRE(stops_.size() == 1);
    }

    void answer(std::uint64_t request, target_outcome outcome)
    {
        post(order_reply{.request_ = request, .outcome_ = outcome});
    }

    // Runs while the other host sends heartbeats and the target lists no run.
    void run_stopping(std::int64_t                     micros,
                      std::vector<reported_end> const& ends = {})
    {
        constexpr std::int64_t step = 20'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            report_other();
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold, {}, ends);
            }
            run(step);
        }
    }
};

// Guards against tasks that run twice: the next owner finds a run that is still
// being stopped listed nowhere and starts its task again.
TEST_CASE_FIXTURE(stop_release_fixture,
                  "stop accepted, shard is handed over, released when the stop "
                  "is over")
{
    answer(stops_[0].request_, target_outcome::done);
    post(stop_requested{now_.after(5 * micros_per_second)});
    run_stopping(settings_.stop_taken_micros_ - 400'000);
    CHECK_FALSE(is_released());
    SUBCASE("its end is listed")
    {
        run_stopping(160'000, {{1, run_, run_end::stopped, ""}});
        CHECK(is_released());
    }
    SUBCASE("its end isn't listed in the longest time of a stop")
    {
        run_stopping(300'000);
        CHECK_FALSE(is_released());
        run_stopping(140'000);
        CHECK(is_released());
    }
}

// The same while the reply to the stop is in flight.
TEST_CASE_FIXTURE(stop_release_fixture,
                  "stop without a reply, shard is handed over, released after "
                  "its deadline without another one")
{
    post(stop_requested{now_.after(5 * micros_per_second)});
    run_stopping(settings_.order_micros_);
    CHECK_FALSE(is_released());
    answer(stops_[0].request_, target_outcome::unknown);
    run_stopping(60'000);
    CHECK(is_released());
    CHECK(take<send_stop>().empty());
}

// Guards against a stop in progress at the release: a releasing owner orders
// new ones.
TEST_CASE_FIXTURE(stop_release_fixture,
                  "shard is handed over, unknown run is listed, isn't stopped")
{
    answer(stops_[0].request_, target_outcome::done);
    post(stop_requested{now_.after(5 * micros_per_second)});
    run_stopping(100'000);
    run_key unknown = run_;
    unknown.stage_.job_ = job_id("aa09");
    for (int round = 0; round < 10; ++round)
    {
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, {{unknown, "", 1, 0}});
        }
        report_other();
        run(20'000);
    }
    CHECK_FALSE(is_released());
    CHECK(take<send_stop>().empty());
}

// Guards against a shard that isn't released before its owner leaves.
TEST_CASE_FIXTURE(stop_release_fixture,
                  "stop accepted, host leaves soon, released at once")
{
    answer(stops_[0].request_, target_outcome::done);
    post(stop_requested{now_.after(settings_.release_micros_)});
    run_stopping(60'000);
    CHECK(is_released());
}

// Guards against long stops without a reason in the log.
TEST_CASE_FIXTURE(stop_release_fixture,
                  "stop accepted, shard is handed over, is described as what a "
                  "stop waits for")
{
    answer(stops_[0].request_, target_outcome::done);
    post(stop_requested{now_.after(5 * micros_per_second)});
    run_stopping(100'000);
    auto const waits = describe_stop(*node_);
    CHECK(std::count(waits.begin(), waits.end(),
                     std::pair<std::string, std::string>("stops", "1")) == 1);
}

// Guards against tasks that run twice, and against a needless gap: the next
// owner relies on what the row says.
TEST_CASE_FIXTURE(stop_release_fixture,
                  "shard is released, row says whether stops may be open")
{
    bool         over = false;
    std::int64_t left = 5 * micros_per_second;
    SUBCASE("the stop was accepted and is over")
    {
        answer(stops_[0].request_, target_outcome::done);
        over = true;
    }
    SUBCASE("the stop was accepted and the host had to leave")
    {
        answer(stops_[0].request_, target_outcome::done);
        left = settings_.release_micros_;
    }
    SUBCASE("the stop got no reply")
    {
        answer(stops_[0].request_, target_outcome::unknown);
    }
    post(stop_requested{now_.after(left)});
    run_stopping(settings_.stop_taken_micros_ + 100'000);
    REQUIRE(is_released());
    CHECK(read_owner(rows_.at(row_).value_).stops_over_ == over);
}

} // namespace
} // namespace fescuevane::cell

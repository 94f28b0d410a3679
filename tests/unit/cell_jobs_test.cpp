// Purpose: tests of acceptance, journal, leases and recovery of one node.
#include "cell_cluster_fixture.hpp"

#include "cell/node.hpp"
#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>

#include <set>

namespace fescuevane::cell
{
namespace
{

// Guards against a job that is reported as accepted before it is stored.
TEST_CASE_FIXTURE(cell_fixture, "job, submitted, stored before the answer")
{
    serve();
    std::uint64_t const call = submit("aa01");
    tick(); // the call reaches the owner, here the same node
    tick(); // which writes
    CHECK_FALSE(find_answer(call));
    CHECK(rows_.contains({"job", "0", "aa01"}));
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::accepted);
    CHECK(take<send_start>().size() == 1);
}

// Guards against a job that is rejected and runs later.
TEST_CASE_FIXTURE(cell_fixture,
                  "store down, job submitted, refused and not kept")
{
    serve();
    store_down_ = true;
    std::uint64_t const call = submit("aa01");
    run(100'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::unavailable);
    CHECK(find_answer(call)->retry_after_ms_ > 0);
    store_down_ = false;
    run(2 * micros_per_second);
    CHECK_FALSE(rows_.contains({"job", "0", "aa01"}));
    CHECK(take<send_start>().empty());
}

// Guards against a job that is rejected, or runs twice, when only the store's
// reply was lost.
TEST_CASE_FIXTURE(cell_fixture,
                  "answer of the store lost, job submitted, accepted once")
{
    serve();
    store_unresponsive_ = true;
    std::uint64_t const call = submit("aa01");
    run(30'000);
    store_unresponsive_ = false;
    run(micros_per_second);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::accepted);
    CHECK(take<send_start>().size() == 1);
}

TEST_CASE_FIXTURE(cell_fixture, "job, submitted twice, runs once")
{
    serve();
    submit("aa01");
    run(50'000);
    std::uint64_t const again = submit("aa01");
    run(50'000);
    REQUIRE(find_answer(again));
    CHECK(find_answer(again)->outcome_ == job_outcome::accepted);
    CHECK(take<send_start>().size() == 1);
}

// Guards against a process that ends, having read where a job is before it
// knows the shards of the job's failure domain.
TEST_CASE_FIXTURE(cell_fixture,
                  "process just started, job of an unknown shard, is answered")
{
    serve();
    submit("aa01");
    run(50'000);
    for (call_kind const kind :
         {call_kind::lookup, call_kind::submit, call_kind::cancel})
    {
        ++settings_.incarnation_;
        node_ = make_node(settings_, now_);
        post(config_changed{make_config()});
        run(20'000);
        std::uint64_t const located = ask(call_kind::lookup, "aa01");
        run(20'000);
        std::uint64_t const call =
            kind == call_kind::submit ? submit("aa01") : ask(kind, "aa01");
        run(4 * micros_per_second);
        for (std::uint64_t const each : {located, call})
        {
            REQUIRE(find_answer(each));
            CHECK(find_answer(each)->outcome_ == job_outcome::unavailable);
        }
    }
}

// One job whose task runs on the target.
struct running_job_fixture : cell_fixture
{
    run_key run_;

    running_job_fixture()
    {
        serve();
        submit("aa01");
        run(100'000);
        std::vector<send_start> const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        run_ = starts[0].start_.run_;
        post(order_reply{.request_ = starts[0].request_,
                         .outcome_ = target_outcome::done});
    }

    void report_done()
    {
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, {}, {{1, run_, run_end::done, ""}});
        }
    }
};

// Guards against a job that was reported as completed and runs again: its end
// wasn't stored, and was lost with the owner and the target that listed it.
TEST_CASE_FIXTURE(running_job_fixture,
                  "job done, store away, shown as completed once stored")
{
    store_down_ = true;
    report_done();
    run(50'000);
    std::uint64_t const early = ask(call_kind::lookup, "aa01");
    run(micros_per_second);
    REQUIRE(find_answer(early));
    CHECK(find_answer(early)->phase_ == job_phase::running);
    std::uint64_t const late = ask(call_kind::lookup, "aa01");
    run(50'000);
    CHECK_FALSE(find_answer(late));
    store_down_ = false;
    run(300'000);
    REQUIRE(find_answer(late));
    CHECK(find_answer(late)->phase_ == job_phase::completed);
}

// Guards against takeovers that read the payloads of all jobs that ended within
// the last minutes.
TEST_CASE_FIXTURE(running_job_fixture,
                  "job done and stored, its row has no payload, next owner "
                  "shows it as completed")
{
    report_done();
    run(300'000);
    row_key const row{"job", "0", "aa01"};
    CHECK(read_job(rows_.at(row).value_).job_->payload_.empty());
    start(2);
    serve();
    std::uint64_t const call = ask(call_kind::lookup, "aa01");
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

TEST_CASE_FIXTURE(cell_fixture, "unknown job, looked up, absent")
{
    serve();
    std::uint64_t const call = ask(call_kind::lookup, "ffff");
    run(100'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::absent);
}

// Guards against a target that drops an end whose effect isn't stored: the task
// would run again after all processes are killed.
TEST_CASE_FIXTURE(cell_fixture, "done end, store down, target keeps it")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    post(order_reply{.request_ = starts[0].request_,
                     .outcome_ = target_outcome::done});
    run(20'000);
    store_down_ = true;
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    answer_hold(holds.back(), {},
                {{1, starts[0].start_.run_, run_end::done, ""}});
    run(400'000);
    auto const kept = take<hold_target>();
    REQUIRE(!kept.empty());
    CHECK(kept.back().forgotten_ == 0);
    store_down_ = false;
    answer_hold(kept.back(), {},
                {{1, starts[0].start_.run_, run_end::done, ""}});
    run(micros_per_second);
    auto const told = take<hold_target>();
    REQUIRE(!told.empty());
    CHECK(told.back().forgotten_ == 1);
    std::uint64_t const call = ask(call_kind::lookup, "aa01");
    run(50'000);
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

// A target that runs a task becomes unresponsive; another one has room.
struct unresponsive_target_fixture : cell_fixture
{
    run_key started_;

    unresponsive_target_fixture()
    {
        serve();
        submit("aa01");
        run(50'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        started_ = starts[0].start_.run_;
        post(order_reply{.request_ = starts[0].request_,
                         .outcome_ = target_outcome::done});
    }

    // Advances the time; only the second target replies.
    void run_silent(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                hold.target_ == target_id("t-2") ? answer_hold(hold)
                                                 : fail_hold(hold);
            }
            run(step);
        }
    }
};

// Guards against leases that never lapse: each hold call to an unresponsive
// target carried a new one.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "target falls silent, leaves the list, task starts elsewhere")
{
    run_silent(3 * micros_per_second);
    CHECK(take<send_start>().empty()); // its lease may still hold
    list_target("t-2");
    post(target_unlisted{target_id("t-1")});
    // The lease lapses, then the wait for unreported ends passes.
    run_silent(9 * micros_per_second);
    CHECK(take<send_start>().empty());
    run_silent(2 * micros_per_second);
    auto const again = take<send_start>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].start_.target_ == target_id("t-2"));
    CHECK(again[0].start_.run_.run_ > started_.run_);
}

// Guards against a task that is started again though its run has ended as done:
// the owner was late or cut off, and received the end after the lease.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "target silent and listed, lease lapses, its end is awaited")
{
    list_target("t-2");
    run_silent(10 * micros_per_second);
    CHECK(take<send_start>().empty());
    bool reached = false;
    for (int round = 0; round < 30 && !reached; ++round)
    {
        run(10'000);
        for (hold_target const& hold : take<hold_target>())
        {
            if (hold.target_ == target_id("t-1"))
            {
                CHECK(hold.lease_clock_ms_ == 0); // what runs there may end
                answer_hold(hold, {}, {{1, started_, run_end::done, ""}});
                reached = true;
            }
        }
    }
    run(micros_per_second);
    CHECK(take<send_start>().empty());
    std::uint64_t const call = ask(call_kind::lookup, "aa01");
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

// Guards against a task that is started again though its run has ended as done,
// or after its last attempt: a target that is cut off is delisted before its
// leases lapse.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "target silent, leaves the list, its end is awaited")
{
    list_target("t-2");
    run_silent(4 * micros_per_second);
    post(target_unlisted{target_id("t-1")});
    run_silent(5 * micros_per_second);
    CHECK(take<send_start>().empty());
    bool reached = false;
    for (int round = 0; round < 30 && !reached; ++round)
    {
        run(10'000);
        for (hold_target const& hold : take<hold_target>())
        {
            if (hold.target_ == target_id("t-1"))
            {
                answer_hold(hold, {}, {{1, started_, run_end::done, ""}});
                reached = true;
            }
        }
    }
    run(micros_per_second);
    CHECK(take<send_start>().empty());
    std::uint64_t const call = ask(call_kind::lookup, "aa01");
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

// Guards against work that waits for a target which has announced that it
// leaves, so that nothing can be read from it any more.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "leaving target gone from the list, task starts at the lapse")
{
    list_target("t-2");
    list_target("t-1", true);
    run_silent(3 * micros_per_second);
    post(target_unlisted{target_id("t-1")});
    run_silent(2 * micros_per_second);
    CHECK(take<send_start>().size() == 1);
}

// Guards against a task that is started again though its run has ended as done:
// the owner got no processor time and hadn't read its target's report.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "owner late, target silent and listed, its end is awaited")
{
    list_target("t-2");
    for (int round = 0; round < 5; ++round)
    {
        run_silent(2'700'000);
        advance(micros_per_second); // without a tick
    }
    CHECK(take<send_start>().empty());
    run_silent(14 * micros_per_second);
    CHECK(take<send_start>().size() == 1);
}

// Guards against work that waits forever for a lost target: each late tick of
// its owner restarted the timeout of the unresponsive target.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "owner late again and again, target gone, task goes on")
{
    list_target("t-2");
    post(target_unlisted{target_id("t-1")});
    std::size_t starts = 0;
    for (int round = 0; round < 8 && starts == 0; ++round)
    {
        run_silent(2 * micros_per_second);
        starts = take<send_start>().size();
        advance(300'000); // without a tick
    }
    CHECK(starts == 1);
}

// Guards against a task that runs again after it was done: a target restarted
// under its name, and the next hold call made it drop unread ends by the
// numbers of its earlier incarnation.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "target unanswered once, next question, forgets no end")
{
    auto holds = take<hold_target>();
    REQUIRE(!holds.empty());
    answer_hold(holds.back(), {}, {{1, started_, run_end::done, ""}});
    run(500'000);
    holds = take<hold_target>();
    REQUIRE(!holds.empty());
    REQUIRE(holds.back().forgotten_ == 1);
    fail_hold(holds.back());
    run(500'000);
    holds = take<hold_target>();
    REQUIRE(!holds.empty());
    CHECK(holds.back().forgotten_ == 0);
    answer_hold(holds.back());
    run(500'000);
    holds = take<hold_target>();
    REQUIRE(!holds.empty());
    CHECK(holds.back().forgotten_ == 1); // the same incarnation
}

// Guards against work that can't start elsewhere: hold calls to a target that
// no longer replied renewed its lease for two seconds.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "question without an answer, next one, renews no lease")
{
    std::vector<std::int64_t> leases;
    for (int round = 0; round < 300; ++round)
    {
        for (hold_target const& hold : take<hold_target>())
        {
            leases.push_back(hold.lease_clock_ms_);
            fail_hold(hold);
        }
        run(10'000);
    }
    REQUIRE(leases.size() > 2);
    CHECK(leases[0] > 0);
    CHECK(std::count(leases.begin() + 1, leases.end(), 0) ==
          static_cast<std::ptrdiff_t>(leases.size()) - 1);
}

// Guards against work that waits for an unresponsive target though its order
// was never sent: a target has only a few open orders at a time.
TEST_CASE_FIXTURE(cell_fixture,
                  "target falls silent, start not sent yet, starts elsewhere")
{
    settings_.orders_open_ = 1;
    start(1);
    serve();
    submit("aa01");
    submit("aa02");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    list_target("t-2");
    std::vector<send_start> later;
    for (int round = 0; round < 300; ++round)
    {
        for (hold_target const& hold : take<hold_target>())
        {
            hold.target_ == target_id("t-2") ? answer_hold(hold)
                                             : fail_hold(hold);
        }
        run(10'000);
        for (send_start const& start : take<send_start>())
        {
            later.push_back(start);
        }
    }
    REQUIRE(later.size() == 1);
    CHECK(later[0].start_.target_ == target_id("t-2"));
    CHECK(later[0].start_.run_.stage_.job_ !=
          starts[0].start_.run_.stage_.job_);
}

// Guards against a filler that isn't throttled beside a task with a latency
// bound: its pace was ordered while the target was unresponsive, and the order
// was dropped.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "pace ordered, target silent for a moment, sent afterwards")
{
    run_silent(3 * micros_per_second);
    queue_order(*node_, {domain_id("east"), 0},
                plan::pace_run{started_, target_id("t-1"), 0});
    run_silent(200'000);
    CHECK(take<send_pace>().empty());
    for (int round = 0; round < 20; ++round)
    {
        run(20'000);
        for (hold_target const& hold : take<hold_target>())
        {
            answer_hold(hold, {{started_, "", 1, 0}});
        }
    }
    auto const paces = take<send_pace>();
    REQUIRE(paces.size() == 1);
    CHECK(paces[0].pace_.percent_ == 0);
}

// Guards against work that waits forever for an unreachable target.
TEST_CASE_FIXTURE(unresponsive_target_fixture,
                  "target silent and listed for long, task starts elsewhere")
{
    list_target("t-2");
    run_silent(14 * micros_per_second);
    auto const again = take<send_start>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].start_.target_ == target_id("t-2"));
    CHECK(again[0].start_.run_.run_ > started_.run_);
}

// Targets reply to hold calls, but not to start orders.
struct unanswered_start_fixture : cell_fixture
{
    run_key              started_;
    std::set<run_key>    runs_; // of all starts sent
    std::size_t          sent_ = 0;
    std::vector<instant> times_;

    unanswered_start_fixture()
    {
        serve();
        submit("aa01");
        run(50'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        started_ = starts[0].start_.run_;
        lose(starts[0]);
    }

    void lose(send_start const& start)
    {
        runs_.insert(start.start_.run_);
        ++sent_;
        times_.push_back(instant(start.deadline_.micros() -
                                 settings_.order_micros_)); // sent
        post(order_reply{.request_ = start.request_, .error_ = "no answer"});
    }

    void run_answering(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
            run(step);
        }
    }

    // Advances the time. Each start is lost after half a second.
    void run_lossy(std::int64_t micros)
    {
        constexpr std::int64_t step = 500'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
            for (send_start const& start : take<send_start>())
            {
                lose(start);
            }
        }
    }
};

// Guards against a second run of a task whose start got no reply.
TEST_CASE_FIXTURE(unanswered_start_fixture,
                  "start without an answer, not reported, stopped first")
{
    run_lossy(4 * micros_per_second);
    CHECK(runs_.size() == 1); // no other run before the reply to the stop
    auto const stops = take<send_stop>();
    REQUIRE(!stops.empty());
    CHECK(stops[0].stop_.run_ == started_);
}

// Guards against a task that waits for seconds because one order was lost, and
// against a start that is carried out when it is no longer wanted.
TEST_CASE_FIXTURE(
    unanswered_start_fixture,
    "start without an answer, of use, sent again under its number")
{
    run(100'000);
    CHECK(take<send_start>().empty()); // not before its deadline
    run_answering(500'000);
    auto const again = take<send_start>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].start_.run_ == started_);
    SUBCASE("it is answered")
    {
        post(order_reply{.request_ = again[0].request_,
                         .outcome_ = target_outcome::done});
        run(micros_per_second);
        CHECK(take<send_start>().empty());
        CHECK(take<send_stop>().empty());
    }
    SUBCASE("it is refused, though the first may come later")
    {
        post(order_reply{.request_ = again[0].request_,
                         .outcome_ = target_outcome::refused,
                         .reason_ = plan::refusal::room});
        run_lossy(3 * micros_per_second);
        CHECK(runs_.size() == 1);
        CHECK(!take<send_stop>().empty());
    }
    SUBCASE("it gets no answer either")
    {
        lose(again[0]);
        run_lossy(3 * micros_per_second);
        // The target's clock is known with a delay of two ticks.
        CHECK(times_.front().remaining_until(times_.back()) <=
              settings_.start_valid_ms_ * micros_per_milli + 20'000);
    }
    SUBCASE("the job is canceled")
    {
        ask(call_kind::cancel, "aa01");
        run(50'000);
        lose(again[0]);
        run_lossy(2 * micros_per_second);
        CHECK(sent_ == 2);
    }
}

// Guards against a task that runs again after it was done: its order arrived
// twice, and the second one was rejected because the run had ended.
TEST_CASE_FIXTURE(cell_fixture,
                  "start refused as outdated, its end is listed, done once")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    post(order_reply{.request_ = starts[0].request_,
                     .outcome_ = target_outcome::refused,
                     .reason_ = plan::refusal::outdated});
    run(400'000);
    CHECK(take<send_start>().empty());
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    answer_hold(holds.back(), {},
                {{1, starts[0].start_.run_, run_end::done, ""}});
    run(micros_per_second);
    CHECK(take<send_start>().empty());
    std::uint64_t const call = ask(call_kind::lookup, "aa01");
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->phase_ == job_phase::completed);
}

// Guards against work that is lost, or done twice, when the process is killed.
TEST_CASE_FIXTURE(cell_fixture, "process killed, started again, job goes on")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    start(2);
    commands_.clear();
    list_target("t-1");
    run(micros_per_second);
    CHECK(take<send_start>().empty()); // the target may run it
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    CHECK(holds.back().fence_ == 2);
    SUBCASE("the target runs it")
    {
        answer_hold(holds.back(), {{starts[0].start_.run_, "", 30, 0}});
        run(100'000);
        CHECK(take<send_start>().empty());
    }
    SUBCASE("the target doesn't run it")
    {
        answer_hold(holds.back());
        // The former process may have ordered a stop.
        run(settings_.stop_taken_micros_ - 50'000);
        CHECK(take<send_start>().empty());
        run(100'000);
        REQUIRE(take<send_start>().size() == 1);
    }
}

// Guards against a canceled job that runs again under a new owner.
TEST_CASE_FIXTURE(cell_fixture, "job, canceled, stopped and stored as such")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    post(order_reply{.request_ = starts[0].request_,
                     .outcome_ = target_outcome::done});
    run(20'000);
    std::uint64_t const call = ask(call_kind::cancel, "aa01");
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::canceled);
    CHECK(take<send_stop>().size() == 1);
    CHECK(read_job(rows_.at({"job", "0", "aa01"}).value_).progress_.phase_ ==
          job_phase::canceled);
}

// Guards against a canceled job that continues after a kill: the reply was sent
// after an earlier write, which didn't contain the cancel.
TEST_CASE_FIXTURE(cell_fixture,
                  "write in flight, job canceled, answered by the next write")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    post(order_reply{.request_ = starts[0].request_,
                     .outcome_ = target_outcome::done});
    run(20'000);
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    store_delayed_ = true;
    answer_hold(holds.back(), {},
                {{1, starts[0].start_.run_, run_end::failed, ""}});
    run(100'000);
    REQUIRE(held_.size() == 1); // the failure is being written
    std::uint64_t const call = ask(call_kind::cancel, "aa01");
    run(20'000);
    std::vector<store_reply> const first = held_;
    held_.clear();
    post(first[0]);
    run(50'000);
    CHECK_FALSE(find_answer(call));
    deliver_store_replies();
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::canceled);
}

// Guards against orders of an owner that was replaced by another.
TEST_CASE_FIXTURE(cell_fixture,
                  "target obeys a higher epoch, owner gives the shard up")
{
    serve();
    auto const holds = take<hold_target>();
    REQUIRE(!holds.empty());
    post(hold_reply{.request_ = holds.back().request_,
                    .target_ = target_id("t-1"),
                    .outcome_ = target_outcome::superseded});
    tick();
    CHECK(make_heartbeat(*node_).shards_.empty());
}

// Guards against a planned stop that leaves the shard without an owner until
// the failure detection of other hosts takes effect.
TEST_CASE_FIXTURE(cell_fixture,
                  "stop requested, shard released at once to another host, or "
                  "alone before the process leaves, stopped")
{
    constexpr std::int64_t grace = 5 * micros_per_second;
    store_host("host-2");
    start(1);
    serve();
    SUBCASE("another host")
    {
        post(heartbeat_received{
            {.host_ = host_id("host-2"), .incarnation_ = 5}});
        post(stop_requested{now_.after(grace)});
        run(100'000);
    }
    SUBCASE("alone")
    {
        post(stop_requested{now_.after(grace)});
        run(grace - 1'000'000);
    }
    CHECK(is_stopped(*node_));
    CHECK(
        read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).released_);
}

// Guards against reverting to an older configuration.
TEST_CASE_FIXTURE(cell_fixture, "older configuration, read late, ignored")
{
    auto newer = std::make_shared<cell_config>(*make_config());
    newer->version_ = 9;
    post(config_changed{newer});
    tick();
    post(config_changed{make_config()});
    tick();
    CHECK(config_version(*node_) == 9);
}

TEST_CASE("stored rows, malformed, refused with this layer's error")
{
    for (char const* const text : {"", "{", "[]", "{}", R"({"shard":"east"})",
                                   R"({"shard":7,"phase":0,"tasks":[]})"})
    {
        CHECK_THROWS_AS(read_job(text), record_error);
        CHECK_THROWS_AS(read_owner(text), record_error);
        CHECK_THROWS_AS(read_host(text), record_error);
    }
}

// Guards against overload of a part of the store: it performs 150 transactions
// a second, and each owner writes its jobs there.
TEST_CASE_FIXTURE(
    cell_cluster_fixture,
    "twelve owners, jobs start and end, one part takes all writes")
{
    for (int rack = 0; rack < 12; ++rack)
    {
        std::string const name = "r-" + std::to_string(rack);
        list_target("t-" + name + "-a", name);
        list_target("t-" + name + "-b", name);
        add_host("host-" + std::to_string(10 + rack));
    }
    run(8 * micros_per_second);
    REQUIRE(stored_layout().shards_ == 12);
    journal_writes_ = 0;
    constexpr int seconds = 4;
    constexpr int jobs_a_second = 50;
    for (int job = 0; job < seconds * jobs_a_second; ++job)
    {
        submit("host-" + std::to_string(10 + job % 12),
               "aa" + std::to_string(1000 + job),
               {{.count_ = 10, .demand_ = {10, 16, 0}, .estimate_ms_ = 100}});
        run(20'000);
        end_runs(100, 50); // 500 tasks a second end
    }
    CHECK(starts_.size() > 1000);
    double const rate = static_cast<double>(journal_writes_) / seconds;
    INFO("transactions a second: ", rate);
    CHECK(rate < 150);
}

// Guards against a new owner that attributes jobs to the wrong shard: one name
// is a prefix of the other.
TEST_CASE("stored job, asked for its shard, told from shards of similar names")
{
    shard_id const    own{domain_id("east"), 1};
    staged_job const  job{.id_ = job_id("aa01"), .steps_ = {{}}};
    std::string const text = write_job(own, write_spec(job), {});
    CHECK(read_job(text).shard_ == own);
    CHECK(may_belong(text, own));
    CHECK_FALSE(may_belong(text, {domain_id("east"), 10}));
    CHECK_FALSE(may_belong(text, {domain_id("east"), 0}));
    CHECK_FALSE(may_belong(text, {domain_id("eas"), 1}));
    CHECK(may_belong("{}", own)); // reading it reports that it is malformed
}

} // namespace
} // namespace fescuevane::cell

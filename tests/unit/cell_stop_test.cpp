// Purpose: tests of calls to a host that is stopping.
#include "cell/records.hpp"
#include "cell_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// The node owns the only shard of two hosts and is told to stop. It leaves 5 s
// later.
struct stop_fixture : cell_fixture
{
    static constexpr std::int64_t grace_micros = 5 * micros_per_second;
    host_id const                 other_{"host-2"};
    instant                       leave_at_;

    stop_fixture()
    {
        store_host("host-2");
        start(1);
        serve();
    }

    void report_other(bool stopping)
    {
        post(heartbeat_received{
            {.host_ = other_, .incarnation_ = 5, .stopping_ = stopping}});
    }

    void stop()
    {
        leave_at_ = now_.after(grace_micros);
        post(stop_requested{leave_at_});
        run(20'000);
    }

    // Runs until shortly before the process leaves, with heartbeats of the
    // other host.
    void run_to_leave(bool other_stopping)
    {
        constexpr std::int64_t step = 100'000;
        while (now_.after(2 * step) < leave_at_)
        {
            report_other(other_stopping);
            run(step);
        }
    }

    std::optional<job_outcome> outcome_of(std::uint64_t call)
    {
        auto const answer = find_answer(call);
        return answer ? std::optional(answer->outcome_) : std::nullopt;
    }
};

// Guards against a shard that nobody serves while all hosts are stopping: the
// leases on its targets lapse, and callers are refused.
TEST_CASE_FIXTURE(stop_fixture,
                  "all hosts stopping, shard is served on, released before the "
                  "process leaves")
{
    report_other(true);
    stop();
    CHECK(owns_shards(*node_));
    std::uint64_t const submission = submit("aa01");
    run(100'000);
    CHECK(outcome_of(submission) == job_outcome::accepted);
    run_to_leave(true);
    CHECK(is_stopped(*node_));
}

TEST_CASE_FIXTURE(stop_fixture,
                  "all hosts stopping, another one can own the shard, released "
                  "at once")
{
    report_other(true);
    stop();
    REQUIRE(owns_shards(*node_));
    report_other(false);
    run(50'000);
    CHECK(is_stopped(*node_));
}

// Guards against calls that a stopping host holds until it is killed, since no
// host owns their shard any more.
TEST_CASE_FIXTURE(stop_fixture,
                  "all hosts stopping, shard without owner, call refused at "
                  "once with a time to come back")
{
    submit("aa01");
    run(100'000);
    report_other(true);
    stop();
    run_to_leave(true);
    REQUIRE(is_stopped(*node_));
    std::uint64_t const submission = submit("aa02");
    std::uint64_t const lookup = ask(call_kind::lookup, "aa01");
    std::uint64_t const cancel = ask(call_kind::cancel, "aa01");
    run(50'000);
    for (std::uint64_t const call : {submission, lookup, cancel})
    {
        REQUIRE(find_answer(call));
        CHECK(find_answer(call)->outcome_ == job_outcome::unavailable);
        CHECK(find_answer(call)->retry_after_ms_ > 0);
    }
    CHECK_FALSE(rows_.contains({"job", "0", "aa02"}));
}

// Guards against a caller that could have gone elsewhere in time.
TEST_CASE_FIXTURE(stop_fixture,
                  "another host may take over, call waits, answered before the "
                  "process leaves")
{
    report_other(false);
    stop();
    run_to_leave(false);
    std::uint64_t const late = submit("aa01"); // its deadline is 3 s away
    tick();
    CHECK(outcome_of(late) == job_outcome::unavailable);
}

TEST_CASE_FIXTURE(stop_fixture,
                  "call opened before the stop, later deadline, answered "
                  "before the process leaves")
{
    constexpr std::int64_t far = 30 * micros_per_second;
    report_other(false);
    post(call_opened{.call_ = ++last_call_,
                     .kind_ = call_kind::lookup,
                     .id_ = job_id("bb01"),
                     .deadline_ = now_.after(far)});
    reads_lost_ = true; // the job's shard can't be found
    stop();
    run_to_leave(false);
    CHECK(outcome_of(last_call_).has_value());
}

// Guards against a caller that is told that its job hasn't run, while a write
// of it may have been performed.
TEST_CASE_FIXTURE(stop_fixture,
                  "submission may be stored, store silent, not refused")
{
    report_other(true);
    store_unresponsive_ = true;
    std::uint64_t const call = submit("aa01");
    run(50'000);
    stop();
    run_to_leave(true);
    run(micros_per_second);
    REQUIRE(rows_.contains({"job", "0", "aa01"}));
    CHECK(outcome_of(call) != job_outcome::unavailable);
    CHECK(outcome_of(call).has_value());
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of owners, targets and the store that fail.
#include "tests/unit/node_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace fescuevane::entry
{
namespace
{

struct node_failures_fixture : node_fixture
{
    std::string owner_;
    std::string other_;

    node_failures_fixture()
    {
        start_cell();
        owner_ = find_owner("east");
        other_ = find_other("east");
    }

    void set_run_time(std::int64_t micros)
    {
        for (auto& [name, target] : targets_)
        {
            target.run_micros_ = micros;
        }
    }

    std::uint64_t submit_and_start(std::string const& node,
                                   job_spec const&    spec)
    {
        auto const call = submit(node, spec);
        REQUIRE(run_until(
            [&]
            {
                return count_starts(spec.key_.job_.str()) > 0;
            },
            10 * micros_per_second));
        return call;
    }
};

// Guards against callers who lose the answer of a running task with its owner,
// and against a second run.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "owner, dies while a task runs, successor gives its answer")
{
    set_run_time(6 * micros_per_second);
    auto const call = submit_and_start(other_, make_request("east.0~a"));
    kill(owner_);
    auto const result = wait(other_, call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(result->owner_ != host_id(owner_));
    CHECK(count_starts("east.0~a") == 1);
}

// Guards against a second start of a job that may run at most once.
TEST_CASE_FIXTURE(
    node_failures_fixture,
    "owner, dies after a non-idempotent start, never starts twice")
{
    set_run_time(3 * micros_per_second);
    auto const call = submit_and_start(other_, make_request("east.0~a", false));
    kill(owner_);
    auto const result = wait(other_, call);
    REQUIRE(result);
    CHECK((result->state_ == job_state::answered ||
           result->state_ == job_state::unknown));
    run(20 * micros_per_second);
    CHECK(count_starts("east.0~a") == 1);
}

// Guards against a request that is lost with the queue of a dead owner.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "owner, dies with a queued request, runs it once elsewhere")
{
    set_run_time(2 * micros_per_second);
    for (int i = 0; i < 8; ++i)
    {
        submit(other_, make_request("east.0~fill-" + std::to_string(i)));
    }
    auto const call = submit(other_, make_request("east.0~queued"));
    run(100 * micros_per_milli);
    REQUIRE(count_starts("east.0~queued") == 0);
    kill(owner_);
    auto const result = wait(other_, call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(count_starts("east.0~queued") == 1);
    CHECK(overlaps_ == 0);
}

// Guards against a paused owner that starts work again after a takeover.
TEST_CASE_FIXTURE(
    node_failures_fixture,
    "owner, paused and overtaken, is fenced and its callers served")
{
    auto const call = submit(owner_, make_request("east.0~a"));
    nodes_.at(owner_).paused_ = true;
    REQUIRE(run_until(
        [this]
        {
            return find_owner("east") == other_;
        },
        20 * micros_per_second));
    nodes_.at(owner_).paused_ = false;
    auto const result = wait(owner_, call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(result->owner_ == host_id(other_));
    CHECK(count_starts("east.0~a") == 1);
    CHECK(overlaps_ == 0);
}

// Guards against work that waits for ever for a start that never arrived, and
// against a false "not run".
TEST_CASE_FIXTURE(node_failures_fixture,
                  "start, lost with its link, is retried or told not run")
{
    for (bool const idempotent : {true, false})
    {
        for (auto& [name, target] : targets_)
        {
            target.breaks_on_start_ = true;
        }
        std::string const id = idempotent ? "east.0~a" : "east.0~b";
        auto const        result =
            submit_and_wait(owner_, make_request(id, idempotent));
        CHECK(result.state_ ==
              (idempotent ? job_state::answered : job_state::not_run));
        run(20 * micros_per_second);
        CHECK(count_starts(id) == (idempotent ? 1 : 0));
    }
}

// Guards against a task that runs in two places because its first target is
// only unreachable.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "target, silent, has its task retried after the lease only")
{
    set_run_time(60 * micros_per_second);
    auto const   call = submit_and_start(owner_, make_request("east.0~a"));
    target_fake& first = targets_.at(find_target_of("east.0~a"));
    set_run_time(20 * micros_per_milli);
    first.silent_ = true;
    instant const lease_end = first.lease_end_;
    auto const    result = wait(owner_, call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(now_ > lease_end);
    CHECK(count_starts("east.0~a") == 2);
    CHECK(overlaps_ == 0);
}

// An owner without processor time and a store that is down, so that no other
// process takes over meanwhile.
struct late_owner_fixture : node_failures_fixture
{
    std::string first_; // target that the task runs on

    late_owner_fixture()
    {
        set_run_time(3 * micros_per_second);
        submit_and_start(owner_, make_request("east.0~a"));
        first_ = find_target_of("east.0~a");
        store_.down_ = true;
    }

    void check_ran_once()
    {
        run(20 * micros_per_second);
        auto const answers = list_answers(owner_, next_call_);
        REQUIRE(!answers.empty());
        CHECK(answers.back().state_ == job_state::answered);
        CHECK(answers.back().outcome_ == outcome::succeeded);
        CHECK(count_starts("east.0~a") == 1);
    }
};

// Guards against the end of a task that is taken for that of a lost run, so
// that its caller gets no answer: the owner had no processor time, took its
// targets for silent and their leases for lapsed before it read what they had
// sent.
TEST_CASE_FIXTURE(late_owner_fixture,
                  "owner, late while a task ends, reads the end first")
{
    SUBCASE("for longer than a lease")
    {
        pause(owner_, 12 * micros_per_second);
    }
    SUBCASE("for two leases")
    {
        pause(owner_, 20 * micros_per_second);
    }
    check_ran_once();
}

// Guards against the same when the link to the target broke, and its leases
// lapsed while the owner had no processor time to open another one.
TEST_CASE_FIXTURE(late_owner_fixture,
                  "owner, late with a broken link, reads the end first")
{
    target_fake const& target = targets_.at(first_);
    post(owner_,
         target_disconnected{target.listed_.target_, target.attachment_});
    run(100 * micros_per_milli);
    pause(owner_, 15 * micros_per_second);
    check_ran_once();
}

// Guards against starts that an owner sends with a clock so old that their
// leases have lapsed when they arrive.
TEST_CASE_FIXTURE(late_owner_fixture,
                  "owner, late, gives a call that waits a lease that holds")
{
    pause(owner_, 15 * micros_per_second);
    CHECK(submit_and_wait(owner_, make_request("east.0~b")).outcome_ ==
          outcome::succeeded);
    CHECK(count_starts("east.0~b") == 1);
}

// Guards against work that waits without end for a target that is gone: each
// late tick of its owner puts the judgement off.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "owner, late again and again, gives up a target that is gone")
{
    set_run_time(60 * micros_per_second);
    submit_and_start(owner_, make_request("east.0~a"));
    targets_.at(find_target_of("east.0~a")).silent_ = true;
    instant const limit = now_.after(40 * micros_per_second);
    while (now_ < limit && count_starts("east.0~a") < 2)
    {
        run(2 * micros_per_second);
        pause(owner_, 700 * micros_per_milli);
    }
    CHECK(count_starts("east.0~a") == 2);
    CHECK(overlaps_ == 0);
}

// Guards against a wait for a lease of a process that is known to be gone.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "target, restarted, has its task retried at once")
{
    set_run_time(60 * micros_per_second);
    auto const        call = submit_and_start(owner_, make_request("east.0~a"));
    std::string const first = find_target_of("east.0~a");
    set_run_time(20 * micros_per_milli);
    instant const before = now_;
    restart_target(first);
    auto const result = wait(owner_, call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(now_ < before.after(2 * micros_per_second));
    CHECK(count_starts("east.0~a") == 2);
}

// Guards against an outage of the store that stops requests, and against
// accepted work that stands nowhere.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "store, down, requests go on and journaled work is refused")
{
    store_.down_ = true;
    run(5 * micros_per_second);
    CHECK(submit_and_wait(other_, make_request("a")).state_ ==
          job_state::answered);
    for (job_spec const& spec : {make_request("b", false), make_batch("c", 2)})
    {
        auto const result = submit_and_wait(other_, spec);
        CHECK(result.state_ == job_state::not_run);
        CHECK(result.retry_after_micros_ > 0);
    }
    store_.down_ = false;
    run(10 * micros_per_second);
    CHECK(count_starts("b") + count_starts("c") == 0);
}

// Guards against a second entry or a second run after a lost reply.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "store, reply lost, writes the entry and runs the job once")
{
    store_.lost_replies_ = 2;
    auto const result = submit_and_wait(other_, make_request("a", false));
    CHECK(result.state_ == job_state::answered);
    CHECK(count_starts("a") == 1);
    CHECK(count_journal_rows("a") == 1);
}

// Guards against work that waits for a failure domain, and against a moved job
// that is lost to its caller or runs again.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "failure domain, taken out, moves its batch and keeps its id")
{
    for (int i = 0; i < 8; ++i)
    {
        targets_.at("t-east1").run_micros_ = 20 * micros_per_second;
        targets_.at("t-east2").run_micros_ = 20 * micros_per_second;
        submit(owner_, make_request("east.0~fill-" + std::to_string(i)));
    }
    run(100 * micros_per_milli);
    auto const batch = submit("west1", make_batch("east.0~batch", 2));
    auto const queued = submit("west1", make_request("east.0~queued"));
    run(micros_per_second);
    REQUIRE(count_starts("east.0~batch") == 0);
    REQUIRE(accept_ticket("west1", write_domain_ticket(2, "east", false)));
    auto const fresh = submit("west1", make_request("east.0~new"));
    for (auto const call : {batch, queued, fresh})
    {
        auto const result = wait("west1", call);
        REQUIRE(result);
        CHECK(result->state_ == job_state::answered);
    }
    CHECK(find_target_of("east.0~new").starts_with("t-west"));
    for (bool const returned : {false, true})
    {
        if (returned)
        {
            REQUIRE(
                accept_ticket("west1", write_domain_ticket(3, "east", true)));
            run(3 * micros_per_second);
        }
        auto const found = wait(other_, look_up(other_, "east.0~batch"));
        REQUIRE(found);
        CHECK(found->state_ == job_state::answered);
        CHECK(submit_and_wait(other_, make_batch("east.0~batch", 2)).state_ ==
              job_state::answered);
    }
    CHECK(count_starts("east.0~batch") == 2);
    CHECK(overlaps_ == 0);
}

// Guards against a planned stop that interrupts a request.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "stop, planned, hands over and answers the open calls")
{
    set_run_time(3 * micros_per_second);
    auto const call = submit_and_start(owner_, make_request("east.0~a"));
    post(owner_, stop_wanted{});
    CHECK_FALSE(has_stopped(*nodes_.at(owner_).node_));
    auto const late = submit(owner_, make_request("late"));
    auto const result = wait(owner_, call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(wait(owner_, late)->state_ == job_state::not_run);
    CHECK(run_until(
        [this]
        {
            return has_stopped(*nodes_.at(owner_).node_);
        },
        10 * micros_per_second));
    CHECK(count_starts("east.0~a") == 1);
    CHECK(find_owner("east") == other_);
}

// Guards against ticks without a pause while a call is due to be passed again
// and its shard has no owner. The fixture fails a deadline that doesn't move.
TEST_CASE_FIXTURE(node_failures_fixture,
                  "call, no owner when it is passed again, waits for one")
{
    set_run_time(20 * micros_per_second);
    auto const call = submit_and_start("west1", make_request("east.0~a"));
    nodes_.at("west1").store_cut_ = true;
    kill("east1");
    kill("east2");
    kill("west2");
    run(5 * micros_per_second);
    CHECK(list_answers("west1", call).empty());
    start("east1", "east", 2);
    REQUIRE(wait("west1", call));
    CHECK(count_starts("east.0~a") == 1);
}

// Guards against tasks that run twice: a target that was cut off left the list
// before its shard's new owner started, and ran on.
TEST_CASE_FIXTURE(
    node_failures_fixture,
    "target unlisted before the owner started, its batch isn't repeated" *
        doctest::test_suite("unlisted"))
{
    set_run_time(60 * micros_per_second);
    submit("west1", make_batch("east.0~a", 1));
    REQUIRE(run_until(
        [&]
        {
            return count_starts("east.0~a") > 0;
        },
        10 * micros_per_second));
    run(micros_per_second);
    target_fake& target = targets_.at(find_target_of("east.0~a"));
    target.silent_ = true;
    target.unlisted_ = true;
    for (std::string const name : {"east1", "east2"})
    {
        kill(name);
        start(name, "east", 2);
    }
    run(20 * micros_per_second);
    CHECK(overlaps_ == 0);
    CHECK(count_starts("east.0~a") == 2);
}

} // namespace
} // namespace fescuevane::entry

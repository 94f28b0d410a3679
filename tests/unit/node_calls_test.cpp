// Purpose: tests of calls through several nodes: one hop, repeated ids, access,
// lost messages.
#include "tests/unit/node_fixture.hpp"

#include "decide/reasons.hpp"

#include <doctest/doctest.h>

namespace fescuevane::entry
{
namespace
{

struct node_calls_fixture : node_fixture
{
    node_calls_fixture() { start_cell(); }

    static job_spec make_gang(std::string const& id, std::uint32_t tasks)
    {
        return {.key_ = {team_id("cafes"), job_id(id)},
                .service_ = service_id("refills"),
                .kind_ = work_kind::gang,
                .task_count_ = tasks,
                .demand_ = {1000, 512, 0}};
    }

    // Loses the next message of a kind between the two "east" nodes.
    template <typename Message>
    void drop_next(std::string const& from, std::string const& to)
    {
        ways_[{from, to}].drops_ =
            [&over = ways_[{from, to}]](peer_message const& message)
        {
            return over.dropped_ == 0 &&
                   std::holds_alternative<Message>(message);
        };
    }
};

// Guards against calls that wander between processes, and against a caller who
// has to know the owner.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "request, sent to another process, takes one hop")
{
    std::string const other = find_other("east");
    std::string const owner = find_owner("east");
    auto const        result = submit_and_wait(other, make_request("east.0~a"));
    CHECK(result.state_ == job_state::answered);
    CHECK(result.owner_ == host_id(owner));
    CHECK(read_counter(other, counter::hops_sent) == 1);
    CHECK(read_counter(owner, counter::hops_received) == 1);
    CHECK(read_counter(owner, counter::hops_sent) == 0);
}

// Guards against a second run of a request that a caller repeats through
// another process.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "request, same id at two processes, runs once")
{
    auto const first = submit("east1", make_request("twice"));
    auto const second = submit("west2", make_request("twice"));
    auto const one = wait("east1", first);
    auto const two = wait("west2", second);
    REQUIRE(one);
    REQUIRE(two);
    CHECK(*one == *two);
    CHECK(submit_and_wait("east2", make_request("twice")) == *one);
    CHECK(count_starts("twice") == 1);
}

// Guards against the answer of another request under a reused id.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "request, known id with other content, is not run")
{
    submit_and_wait("east1", make_request("same"));
    auto const result = submit_and_wait("west1", make_batch("same", 2));
    CHECK(result.state_ == job_state::not_run);
    CHECK(result.reason_ == decide::reason_other_content);
    CHECK(count_starts("same") == 1);
}

// Guards against work for a team whose key did not come with it.
TEST_CASE_FIXTURE(node_calls_fixture, "request, without access, is rejected")
{
    auto const bare = submit("east1", make_request("a"), "");
    auto const wrong = submit("east1", make_request("b"), "k3");
    auto const stranger =
        submit("east1", {.key_ = {team_id("nobody"), job_id("c")},
                         .service_ = service_id("refills"),
                         .demand_ = {1000, 512, 0}});
    run(micros_per_second);
    CHECK(find_rejection("east1", bare) == call_error::key_missing);
    CHECK(find_rejection("east1", wrong) == call_error::key_rejected);
    CHECK(find_rejection("east1", stranger) == call_error::key_rejected);
    CHECK(count_starts("a") + count_starts("b") + count_starts("c") == 0);
}

// Guards against a revoked key that goes on working, also where a process is
// cut off after it has seen the ticket.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "request, withdrawn key, is rejected also when cut off")
{
    REQUIRE(accept_ticket(
        "east1", R"({"number":2,"teams":[{"id":"cafes","keys":["k2"]}]})"));
    run(micros_per_second);
    set_isolated("west1", true);
    run(5 * micros_per_second);
    for (std::string const node : {"east1", "west1"})
    {
        auto const call = submit(node, make_request("old-" + node), "k1");
        run(micros_per_second);
        CHECK(find_rejection(node, call) == call_error::key_rejected);
        CHECK(count_starts("old-" + node) == 0);
    }
    set_isolated("west1", false);
    run(5 * micros_per_second);
    auto const call = submit("west1", make_request("later"), "k1");
    run(micros_per_second);
    CHECK(find_rejection("west1", call) == call_error::key_rejected);
}

// Guards against a call that hangs, or runs twice, when the message with it is
// lost.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "request, submit message lost, is passed again and runs once")
{
    std::string const other = find_other("east");
    drop_next<submit_passed>(other, find_owner("east"));
    auto const result = submit_and_wait(other, make_request("east.0~a"));
    CHECK(ways_[{other, find_owner("east")}].dropped_ == 1);
    CHECK(result.state_ == job_state::answered);
    CHECK(count_starts("east.0~a") == 1);
}

// Guards against an answer that is lost with its message.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "request, answer message lost, is answered after a resend")
{
    std::string const other = find_other("east");
    std::string const owner = find_owner("east");
    for (bool const idempotent : {true, false})
    {
        std::string const id = idempotent ? "east.0~a" : "east.0~b";
        ways_[{owner, other}].dropped_ = 0;
        drop_next<answer_passed>(owner, other);
        auto const result =
            submit_and_wait(other, make_request(id, idempotent));
        CHECK(ways_[{owner, other}].dropped_ == 1);
        CHECK(result.state_ == job_state::answered);
        CHECK(count_starts(id) == 1);
    }
}

// Guards against a gang that is refused by the shard that it came to, though
// targets of the cell have room for it.
TEST_CASE_FIXTURE(node_calls_fixture,
                  "gang, larger than its shard, cell has room, is run" *
                      doctest::test_suite("wide_gangs"))
{
    SUBCASE("another shard can run it")
    {
        for (std::string const name : {"t-west3", "t-west4"})
        {
            add_target(name, "west");
        }
        run(5 * micros_per_second);
    }
    SUBCASE("only both shards together can run it") {}
    // A shard with two targets has room for 8.
    auto const result = submit_and_wait("east1", make_gang("east.0~gang", 10));
    CAPTURE(result.reason_);
    CHECK(result.state_ == job_state::answered);
    CHECK(count_starts("east.0~gang") == 10);
}

} // namespace
} // namespace fescuevane::entry

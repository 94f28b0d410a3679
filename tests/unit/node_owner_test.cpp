// Purpose: tests of what an owner keeps of its jobs: journal entries of moved
// jobs, marks and watchers.
#include "entry/node_tables.hpp"
#include "tests/unit/node_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::entry
{
namespace
{

struct node_owner_fixture : node_fixture
{
    std::string owner_;

    node_owner_fixture()
    {
        start_cell();
        owner_ = find_owner("east");
    }

    node const& context() const { return *nodes_.at(owner_).node_; }

    static job_spec make_traced(std::string const& id, bool idempotent)
    {
        return {.key_ = {team_id("cafes"), job_id(id)},
                .service_ = service_id("refills"),
                .demand_ = {1000, 512, 0},
                .idempotent_ = idempotent,
                .traceparent_ = "00-0123456789abcdef0123456789abcdef-"
                                "0123456789abcdef-01"};
    }

    // A batch that waits in "east" behind long requests.
    std::uint64_t queue_batch(std::string const& id)
    {
        for (int i = 0; i < 8; ++i)
        {
            targets_.at("t-east1").run_micros_ = 60 * micros_per_second;
            targets_.at("t-east2").run_micros_ = 60 * micros_per_second;
            submit(owner_, make_request("east.0~fill-" + std::to_string(i)));
        }
        run(100 * micros_per_milli);
        auto const call = submit("west1", make_batch(id, 2));
        run(micros_per_second);
        REQUIRE(count_starts(id) == 0);
        return call;
    }
};

// Guards against "not run" for a job that another shard runs, told because the
// home shard could not note the move.
TEST_CASE_FIXTURE(node_owner_fixture,
                  "moved job, note refused by the store, is never told not run")
{
    auto const call = queue_batch("east.0~batch");
    for (auto& [way, over] : ways_)
    {
        if (way.second == owner_ && way.first.starts_with("west"))
        {
            over.drops_ = [](peer_message const& message)
            {
                return std::holds_alternative<answer_passed>(message);
            };
        }
    }
    REQUIRE(accept_ticket("west1", write_domain_ticket(2, "east", false)));
    REQUIRE(run_until(
        [this]
        {
            return count_starts("east.0~batch") == 2;
        },
        20 * micros_per_second));
    nodes_.at(owner_).store_cut_ = true;
    run(micros_per_second);
    for (auto& [way, over] : ways_)
    {
        over.drops_ = nullptr;
    }
    run(15 * micros_per_second);
    nodes_.at(owner_).store_cut_ = false;
    auto const result = wait("west1", call);
    REQUIRE(result);
    CHECK(result->state_ == job_state::answered);
    CHECK(context().records_.index_.contains(
        {team_id("cafes"), job_id("east.0~batch")}));
}

// Guards against journal entries of moved jobs that are kept for ever.
TEST_CASE_FIXTURE(node_owner_fixture,
                  "moved job, home shard, plans to remove the entry")
{
    auto const call = queue_batch("east.0~batch");
    REQUIRE(accept_ticket("west1", write_domain_ticket(2, "east", false)));
    REQUIRE(wait("west1", call));
    auto const row = context().records_.index_.find(
        {team_id("cafes"), job_id("east.0~batch")});
    REQUIRE(row);
    CHECK(context().record_deadline_ <=
          context().records_.keep_deadline_[*row]);
}

// Guards against spans that pile up with each repeated submission.
TEST_CASE_FIXTURE(node_owner_fixture,
                  "traced job, repeated after its end, leaves no span")
{
    for (bool const idempotent : {true, false})
    {
        job_spec const spec =
            make_traced(idempotent ? "east.0~a" : "east.0~b", idempotent);
        submit_and_wait(owner_, spec);
        submit_and_wait(owner_, spec);
    }
    run(micros_per_second);
    CHECK(context().job_spans_.empty());
    CHECK(context().task_spans_.empty());
}

// Guards against "no record" for a request that runs on a target which the new
// owner of its shard hasn't reached yet.
TEST_CASE_FIXTURE(node_owner_fixture,
                  "request runs, new owner without its target, isn't unknown")
{
    for (char const* const target : {"t-east1", "t-east2"})
    {
        targets_.at(target).run_micros_ = 10 * micros_per_second;
    }
    submit("west1", make_request("east.0~a"));
    run(100 * micros_per_milli);
    REQUIRE(count_starts("east.0~a") == 1);
    for (char const* const target : {"t-east1", "t-east2"})
    {
        targets_.at(target).silent_ = true;
    }
    std::string const former = owner_;
    kill(former);
    REQUIRE(run_until(
        [this, &former]
        {
            owner_ = find_owner("east");
            return !owner_.empty() && owner_ != former &&
                   context().drivers_.index_.contains({domain_id("east"), 0});
        },
        5 * micros_per_second));
    auto const call = look_up("west1", "east.0~a");
    run(micros_per_second);
    CHECK_FALSE(find_rejection("west1", call));
    for (char const* const target : {"t-east1", "t-east2"})
    {
        targets_.at(target).silent_ = false;
    }
    auto const result = wait("west1", call);
    CHECK_FALSE(find_rejection("west1", call));
    REQUIRE(result);
    CHECK(result->state_ != job_state::not_run);
}

// Guards against marks of jobs of shards that the process no longer owns.
TEST_CASE_FIXTURE(node_owner_fixture,
                  "shard, released with a running job, leaves no marks")
{
    targets_.at("t-east1").run_micros_ = 60 * micros_per_second;
    targets_.at("t-east2").run_micros_ = 60 * micros_per_second;
    submit("west1", make_traced("east.0~a", true));
    run(micros_per_second);
    REQUIRE(context().job_spans_.size() == 1);
    REQUIRE(context().task_spans_.size() == 1);
    post(owner_, stop_wanted{});
    run(10 * micros_per_second);
    REQUIRE(find_owner("east") != owner_);
    CHECK(context().job_spans_.empty());
    CHECK(context().task_spans_.empty());
    CHECK(context().uncertain_jobs_.empty());
    CHECK(context().watchers_.empty());
}

} // namespace
} // namespace fescuevane::entry

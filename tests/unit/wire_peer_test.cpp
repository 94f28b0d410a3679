// Purpose: tests of the codec between entry processes.
#include "tests/unit/wire_fixture.hpp"

#include <peer.pb.h>

#include <doctest/doctest.h>

#include <functional>

namespace fescuevane::wire
{
namespace
{

struct peer_fixture : wire_fixture
{
    static job_result make_result()
    {
        return {.key_ = make_key(),
                .state_ = static_cast<job_state>(*rc::gen::inRange(0, 6)),
                .outcome_ = make_outcome(),
                .attempt_ = *rc::gen::inRange<std::uint32_t>(0, 1000),
                .body_ = make_body(),
                .reason_ = make_id(),
                .retry_after_micros_ = make_amount(max_span_micros),
                .target_ = target_id(make_id()),
                .owner_ = host_id(*rc::gen::arbitrary<bool>() ? "" : "host")};
    }
};

struct bad_result
{
    char const*                         field_;
    std::function<void(v1::JobResult&)> spoil_;
};

// Guards against an answer that a hop between entry processes changes.
TEST_CASE_FIXTURE(peer_fixture,
                  "job_result, encoded and decoded, is the same result")
{
    CHECK(rc::check(
        []
        {
            job_result const result = make_result();
            v1::JobResult    message;
            encode_job_result(result, message);
            job_result const copy = decode_job_result(message);
            RC_ASSERT((copy.body_ ? *copy.body_ : "") == *result.body_);
            v1::JobResult again;
            encode_job_result(copy, again);
            RC_ASSERT(again.SerializeAsString() == message.SerializeAsString());
            RC_ASSERT(result.body_->empty() || copy == result);
        }));
}

// Guards against states that a faulty peer invents.
TEST_CASE_FIXTURE(peer_fixture,
                  "job_result, bad message, names the field in decode_error")
{
    using result = v1::JobResult;
    std::vector<bad_result> const table = {
        {"result.team",
         [](result& m)
         {
             m.clear_team();
         }},
        {"result.job",
         [](result& m)
         {
             m.set_job("a/b");
         }},
        {"result.state",
         [](result& m)
         {
             m.set_state(static_cast<v1::JobState>(6));
         }},
        {"result.outcome",
         [](result& m)
         {
             m.set_outcome(static_cast<v1::Outcome>(-2));
         }},
        {"result.attempt",
         [](result& m)
         {
             m.set_attempt(max_task_count + 1);
         }},
        {"result.retry_after_micros",
         [](result& m)
         {
             m.set_retry_after_micros(-1);
         }},
        {"result.reason",
         [](result& m)
         {
             m.set_reason(std::string(max_text_bytes + 1, 'x'));
         }},
        {"result.target",
         [](result& m)
         {
             m.set_target("a\nb");
         }},
        {"result.owner",
         [](result& m)
         {
             m.set_owner("a b");
         }},
    };
    for (bad_result const& row : table)
    {
        v1::JobResult message;
        encode_job_result({.key_ = {team_id("t"), job_id("j")}}, message);
        row.spoil_(message);
        std::string field = "none";
        try
        {
            decode_job_result(message);
        }
        catch (decode_error const& error)
        {
            field = error.field();
        }
        CHECK(field == row.field_);
    }
}

// Guards against work that is routed to a shard that does not exist.
TEST_CASE_FIXTURE(peer_fixture, "shard, malformed text, is a decode_error")
{
    CHECK(decode_shard("amman-1.3", "shard") ==
          shard_id{domain_id("amman-1"), 3});
    for (char const* text : {"", "amman", ".3", "amman.x", "a/b.1"})
    {
        CHECK_THROWS_AS(decode_shard(text, "shard"), decode_error);
    }
}

// Guards against a cancellation that drops or mixes up jobs.
TEST_CASE_FIXTURE(peer_fixture, "Cancel, several jobs, gives each job's key")
{
    v1::Cancel message;
    message.set_team("t");
    message.add_jobs("a");
    message.add_jobs("b");
    CHECK(decode_job_keys(message) ==
          std::vector<job_key>{{team_id("t"), job_id("a")},
                               {team_id("t"), job_id("b")}});
    message.add_jobs("");
    CHECK_THROWS_AS(decode_job_keys(message), decode_error);
    CHECK_THROWS_AS(decode_job_key(v1::Lookup()), decode_error);
}

} // namespace
} // namespace fescuevane::wire

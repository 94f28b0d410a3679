// Purpose: tests of the encoding of messages between the hosts of a cell.
#include "peer/peer_codec.hpp"

#include "cell/call_kind.hpp"
#include "cell/heartbeat.hpp"
#include "cell/job_answer.hpp"
#include "cell/job_call.hpp"
#include "cell/send_question.hpp"
#include "core/instant.hpp"
#include "core/staged_job.hpp"
#include "peer/peer_error.hpp"
#include "wire/generated/cell.pb.h"

#include <doctest/doctest.h>

namespace fescuevane::peer
{
namespace
{

struct codec_fixture
{
    instant const now_ = instant(10 * micros_per_second);
};

// Guards against a call about a part of a gang that its shard takes for another
// kind, or with another time to start by.
TEST_CASE_FIXTURE(codec_fixture, "calls about parts, encoded, the same again")
{
    for (cell::call_kind const kind :
         {cell::call_kind::await_part, cell::call_kind::start_part,
          cell::call_kind::withdraw_part})
    {
        cell::job_call const call{.kind_ = kind,
                                  .id_ = job_id("aa01~1-7"),
                                  .shard_ = {domain_id("east"), 3},
                                  .deadline_ = now_.after(micros_per_second)};
        cell::job_call const read = decode_call(encode_call(call, now_), now_);
        CHECK(read.kind_ == kind);
        CHECK(read.id_ == call.id_);
        CHECK(read.shard_ == call.shard_);
        CHECK(read.deadline_ == call.deadline_);
    }
}

// Guards against a call that a host without its handler serves as another one.
TEST_CASE_FIXTURE(codec_fixture, "call, kind of a later version, refused")
{
    cell::v1::JobCall message =
        encode_call({.kind_ = cell::call_kind::withdraw_part,
                     .id_ = job_id("aa01"),
                     .shard_ = {domain_id("east"), 0},
                     .deadline_ = now_},
                    now_);
    message.set_kind(
        static_cast<cell::v1::CallKind>(cell::v1::CANCEL_ABSENT + 1));
    CHECK_THROWS_AS(decode_call(message, now_), peer_error);
}

// Guards against free room and unknown targets that get lost, or that a host of
// an earlier version seems to have.
TEST_CASE_FIXTURE(codec_fixture,
                  "answer, free room and unknown targets, kept, none in old")
{
    cell::job_answer const answer{.outcome_ = cell::job_outcome::known,
                                  .fit_now_ = 3,
                                  .fit_later_ = 9,
                                  .fit_free_ = 5,
                                  .unknown_ = 7};
    cell::v1::JobAnswer    message = encode_answer(answer);
    CHECK(decode_answer(message) == answer);
    message.clear_fit_free();
    CHECK(decode_answer(message).fit_free_ == 0);
    message.clear_unknown();
    CHECK(decode_answer(message).unknown_ == 0);
}

// Guards against a demand of zero that is taken for a missing one, or the
// reverse, which a host of an earlier version sends.
TEST_CASE_FIXTURE(codec_fixture,
                  "wanted requests, encoded, none differs from zero")
{
    for (std::optional<std::uint32_t> const wanted :
         {std::optional<std::uint32_t>(), std::optional<std::uint32_t>(0),
          std::optional<std::uint32_t>(7)})
    {
        cell::heartbeat const beat{
            .host_ = host_id("host-1"),
            .shards_ = {{.shard_ = {domain_id("east"), 0},
                         .wanted_requests_ = wanted}}};
        CHECK(decode_heartbeat(encode_heartbeat(beat)) == beat);
    }
}

// Guards against learnt run times that lose a part of their key or a sum.
TEST_CASE_FIXTURE(codec_fixture, "run times, encoded, decoded the same")
{
    cell::heartbeat const beat{
        .host_ = host_id("host-1"),
        .shards_ = {
            {.shard_ = {domain_id("east"), 0},
             .run_times_ = {{.key_ = {organisation_id("cafe"),
                                      queue_id("orders"), "image:1"},
                             .sums_ = {1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 7.5, 8.5},
                             .learnt_unix_ms_ = 1'700'000'000'000}}}}};
    CHECK(decode_heartbeat(encode_heartbeat(beat)) == beat);
}

// Guards against a host that counts as free because an earlier version reports
// no wait, and against a wait that keeps it unused for hours.
TEST_CASE("wait for the policy service, encoded, none differs from zero and it "
          "is bounded")
{
    for (std::optional<std::int64_t> const wait :
         {std::optional<std::int64_t>(), std::optional<std::int64_t>(0),
          std::optional<std::int64_t>(700'000)})
    {
        cell::heartbeat const beat{.host_ = host_id("host-1"),
                                   .advice_wait_micros_ = wait};
        CHECK(decode_heartbeat(encode_heartbeat(beat)) == beat);
    }
    cell::v1::Heartbeat message;
    message.set_host("host-1");
    message.set_advice_wait_micros(-5);
    CHECK(decode_heartbeat(message).advice_wait_micros_ == 0);
    message.set_advice_wait_micros(1LL << 60);
    CHECK(decode_heartbeat(message).advice_wait_micros_ == 60'000'000);
}

// Guards against a question that a host holds for hours, and against an
// overflow of its deadline.
TEST_CASE("question, time out of range, decoded, its deadline is bounded")
{
    instant const        now(micros_per_second);
    cell::v1::AdviceCall message;
    message.set_job("aa01");
    message.set_remaining_micros(1LL << 62);
    CHECK(decode_question(message, now).deadline_ == now.after(120'000'000));
    message.set_remaining_micros(-5);
    CHECK(decode_question(message, now).deadline_ == now);
}

// Guards against starts above a limit: what a shard uses beyond its part, and
// limits that a host can't read, are told by heartbeats only.
TEST_CASE_FIXTURE(codec_fixture, "limits and uses, encoded, decoded the same")
{
    cell::heartbeat beat{.host_ = host_id("host-1"),
                         .shards_ = {{.shard_ = {domain_id("east"), 0}}},
                         .config_version_ = 7,
                         .limits_ = {{organisation_id("cafe"), {1, 2, 3}},
                                     {organisation_id("bar"), {}}}};
    beat.shards_[0].load_.organisations_ = {
        {.organisation_ = organisation_id("cafe"),
         .used_ = {9, 8, 7},
         .unconfirmed_ = {3, 2, 1},
         .part_ = 250},
        {.organisation_ = organisation_id("bar")}};
    CHECK(decode_heartbeat(encode_heartbeat(beat)) == beat);
}

} // namespace
} // namespace fescuevane::peer

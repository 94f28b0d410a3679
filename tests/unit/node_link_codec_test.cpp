// Purpose: tests of the codec of the batches between nodes.
#include "entry/hosts_listed.hpp"
#include "entry/link_codec.hpp"
#include "tests/unit/wire_fixture.hpp"

#include <peer.pb.h>
#include <platform.pb.h>

#include <doctest/doctest.h>

#include <functional>

namespace fescuevane::entry
{
namespace
{

struct link_codec_fixture : wire::wire_fixture
{
    shard_id const shard_{domain_id("east"), 3};

    job_result make_result() const
    {
        return {.key_ = make_key(),
                .state_ = static_cast<job_state>(*rc::gen::inRange(0, 6)),
                .attempt_ = *rc::gen::inRange<std::uint32_t>(0, 1000),
                .body_ = std::make_shared<std::string const>(make_id()),
                .reason_ = make_id(),
                .retry_after_micros_ = make_amount(1'000'000),
                .target_ = target_,
                .owner_ = host_id("east1")};
    }

    job_spec make_request() const
    {
        return {.key_ = make_key(),
                .service_ = service_id(make_id()),
                .demand_ = make_resources(),
                .idempotent_ = *rc::gen::arbitrary<bool>(),
                .start_deadline_ = make_deadline(),
                .payload_ = std::make_shared<std::string const>(make_id())};
    }

    heartbeat make_heartbeat() const
    {
        return {
            .committed_ = *rc::gen::arbitrary<ticket_number>(),
            .accepted_ = *rc::gen::arbitrary<ticket_number>(),
            .shards_ = {{.shard_ = shard_,
                         .epoch_ = *rc::gen::arbitrary<epoch>(),
                         .ready_ = *rc::gen::arbitrary<bool>(),
                         .queued_tasks_ = *rc::gen::arbitrary<std::uint32_t>(),
                         .free_slots_ = *rc::gen::arbitrary<std::uint32_t>()}},
            .leaving_ = *rc::gen::arbitrary<bool>()};
    }

    std::vector<peer_message> make_messages() const
    {
        auto const call = *rc::gen::arbitrary<std::uint64_t>();
        return {make_heartbeat(),
                submit_passed{call, shard_, *rc::gen::arbitrary<epoch>(),
                              make_request(), *rc::gen::arbitrary<bool>()},
                lookup_passed{call, shard_, make_key()},
                cancel_passed{shard_,
                              team_id(make_id()),
                              {job_id(make_id()), job_id(make_id())}},
                answer_passed{call,
                              static_cast<answer_kind>(*rc::gen::inRange(0, 4)),
                              shard_, *rc::gen::element(shard_, shard_id()),
                              make_result()},
                snapshot_wanted{},
                snapshot_passed{make_id()}};
    }
};

struct bad_batch
{
    std::string                         fault_;
    std::function<void(v1::PeerBatch&)> spoil_;
};

// Guards against a message that changes on its way to another process.
TEST_CASE_FIXTURE(link_codec_fixture,
                  "peer messages, encoded and decoded, are the same messages")
{
    CHECK(rc::check(
        [this]
        {
            std::vector<peer_message> const sent = make_messages();
            v1::PeerBatch                   together;
            for (peer_message const& each : sent)
            {
                v1::PeerBatch alone;
                append_message(each, now_, alone);
                RC_ASSERT((decode_messages(alone, now_) ==
                           std::vector<peer_message>{each}));
                append_message(each, now_, together);
            }
            RC_ASSERT(decode_messages(together, now_) == sent);
        }));
}

// Guards against a faulty peer that makes a node act on nonsense.
TEST_CASE_FIXTURE(link_codec_fixture,
                  "peer batch, malformed, is a decode_error as a whole")
{
    std::vector<bad_batch> const table = {
        {"heartbeat shard",
         [](v1::PeerBatch& m)
         {
             m.mutable_heartbeat()->mutable_shards(0)->set_shard("east");
         }},
        {"submit shard",
         [](v1::PeerBatch& m)
         {
             m.mutable_submits(0)->set_shard("");
         }},
        {"submit specification",
         [](v1::PeerBatch& m)
         {
             m.mutable_submits(0)->clear_spec();
         }},
        {"lookup shard",
         [](v1::PeerBatch& m)
         {
             m.mutable_lookups(0)->set_shard("east.x");
         }},
        {"lookup team",
         [](v1::PeerBatch& m)
         {
             m.mutable_lookups(0)->clear_team();
         }},
        {"cancel shard",
         [](v1::PeerBatch& m)
         {
             m.mutable_cancels(0)->set_shard("a/b");
         }},
        {"cancel team",
         [](v1::PeerBatch& m)
         {
             m.mutable_cancels(0)->clear_team();
         }},
        {"cancel job",
         [](v1::PeerBatch& m)
         {
             m.mutable_cancels(0)->set_jobs(0, "a/b");
         }},
        {"answer kind",
         [](v1::PeerBatch& m)
         {
             m.mutable_answers(0)->set_kind(static_cast<v1::AnswerKind>(9));
         }},
        {"answer shard",
         [](v1::PeerBatch& m)
         {
             m.mutable_answers(0)->set_shard("a");
         }},
        {"answer moved_to",
         [](v1::PeerBatch& m)
         {
             m.mutable_answers(0)->set_moved_to("a");
         }},
        {"answer result",
         [](v1::PeerBatch& m)
         {
             m.mutable_answers(0)->clear_result();
         }},
    };
    v1::PeerBatch good;
    append_message(heartbeat{.shards_ = {{.shard_ = shard_}}}, now_, good);
    job_key const job{team_id("t"), job_id("j")};
    append_message(
        submit_passed{
            1,
            shard_,
            1,
            {.key_ = job, .service_ = service_id("s"), .demand_ = {1, 1, 0}}},
        now_, good);
    append_message(lookup_passed{1, shard_, job}, now_, good);
    append_message(cancel_passed{shard_, job.team_, {job.job_}}, now_, good);
    append_message(
        answer_passed{1, answer_kind::state, shard_, {}, {.key_ = job}}, now_,
        good);
    REQUIRE(decode_messages(good, now_).size() == 5);
    for (bad_batch const& row : table)
    {
        CAPTURE(row.fault_);
        v1::PeerBatch batch = good;
        row.spoil_(batch);
        CHECK_THROWS_AS(decode_messages(batch, now_), wire::decode_error);
    }
}

// Guards against one odd entry of the list that costs the others, overflows
// sums of capacities, or names an address that nothing can be sent to.
TEST_CASE("host list, an odd entry, counts as not listed")
{
    struct odd_host
    {
        char const* const fault_;
        void (*const spoil_)(platform::v1::Host&);
    };
    odd_host const table[] = {
        {"no target",
         [](platform::v1::Host& h)
         {
             h.clear_target();
         }},
        {"no domain",
         [](platform::v1::Host& h)
         {
             h.clear_failure_domain();
         }},
        {"no address",
         [](platform::v1::Host& h)
         {
             h.clear_address();
         }},
        {"no port",
         [](platform::v1::Host& h)
         {
             h.set_address("127.0.0.1");
         }},
        {"port 0",
         [](platform::v1::Host& h)
         {
             h.set_address("127.0.0.1:0");
         }},
        {"port 65536",
         [](platform::v1::Host& h)
         {
             h.set_address("127.0.0.1:65536");
         }},
        {"port -1",
         [](platform::v1::Host& h)
         {
             h.set_address("127.0.0.1:-1");
         }},
        {"long port",
         [](platform::v1::Host& h)
         {
             h.set_address("127.0.0.1:" + std::string(100'000, '9'));
         }},
        {"name",
         [](platform::v1::Host& h)
         {
             h.set_address("east:80");
         }},
        {"cpu",
         [](platform::v1::Host& h)
         {
             h.set_cpu_millis(INT64_MAX);
         }},
        {"cpu below 0",
         [](platform::v1::Host& h)
         {
             h.set_cpu_millis(-1);
         }},
        {"memory",
         [](platform::v1::Host& h)
         {
             h.set_memory_mib(INT64_MAX);
         }},
        {"memory below 0",
         [](platform::v1::Host& h)
         {
             h.set_memory_mib(INT64_MIN);
         }},
        {"accelerators",
         [](platform::v1::Host& h)
         {
             h.set_accelerators(INT64_MAX);
         }},
        {"slots",
         [](platform::v1::Host& h)
         {
             h.set_slots(UINT32_MAX);
         }},
    };
    platform::v1::Host good;
    good.set_target("t-1");
    good.set_failure_domain("east");
    good.set_rack("r-1");
    good.set_address("127.0.0.1:80");
    good.set_cpu_millis(4000);
    good.set_memory_mib(8192);
    good.set_slots(8);
    for (odd_host const& row : table)
    {
        CAPTURE(std::string(row.fault_));
        platform::v1::ListReply reply;
        platform::v1::Host&     odd = *reply.add_hosts();
        odd = good;
        odd.set_target("t-2");
        row.spoil_(odd);
        *reply.add_hosts() = good;
        auto const hosts = decode_hosts(reply).hosts_;
        REQUIRE(hosts.size() == 1);
        CHECK(hosts[0].target_ == target_id("t-1"));
        CHECK(hosts[0].capacity_ == resources(4000, 8192, 0));
    }
}

} // namespace
} // namespace fescuevane::entry

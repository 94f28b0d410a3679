// Purpose: tests of committing and accepting tickets.
#include "tests/unit/state_fixture.hpp"

#include <doctest/doctest.h>
#include <set>

namespace fescuevane::state
{
namespace
{

using stages = std::vector<ticket_stage>;

struct ticket_fixture : state_fixture
{
    ticket_fixture()
    {
        start("e1", "east");
        start("w1", "west");
        run(4000);
    }

    static std::string write_ticket(int number, std::string const& key = "k1")
    {
        return R"({"number":)" + std::to_string(number) +
               R"(,"teams":[{"id":"cafes","keys":[")" + key +
               R"("],"share":3}],"services":[{"id":"refills","open":false}]})";
    }

    // Keys of the acknowledgements that a process has sent.
    static std::set<std::string> list_acks(process_fake const& process)
    {
        std::set<std::string> keys;
        for (commit_rows const& commit : process.list<commit_rows>())
        {
            for (row_write const& write : commit.writes_)
            {
                if (write.key_.starts_with("control/ack/"))
                {
                    keys.insert(write.key_);
                }
            }
        }
        return keys;
    }

    bool accepts(std::string const& process, std::string const& key) const
    {
        return accepts_key(*effective_config(*processes_.at(process).control_),
                           team_id("cafes"), service_id("refills"), key);
    }
};

// Guards against a grant that is used before all shards know it.
TEST_CASE_FIXTURE(ticket_fixture,
                  "ticket, filed, is committed and then accepted everywhere")
{
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(40);
    CHECK_FALSE(accepts("e1", "k1"));
    run(1500);
    CHECK(list_stages(processes_.at("e1"), 1) ==
          stages{ticket_stage::committed, ticket_stage::accepted});
    CHECK(accepts("e1", "k1"));
    CHECK(accepts("w1", "k1"));
    CHECK_FALSE(accepts("w1", "k2"));
}

// Guards against keys that can be read from the store.
TEST_CASE_FIXTURE(ticket_fixture, "ticket, stored, holds no key in clear")
{
    processes_.at("e1").post(ticket_filed{1, write_ticket(1, "a-secret-key")});
    run(1500);
    for (auto const& [key, cell] : store_.cells_)
    {
        CHECK(cell.value_.find("a-secret-key") == std::string::npos);
    }
}

// Guards against two different tickets with one number.
TEST_CASE_FIXTURE(ticket_fixture, "tickets, two race, one gets a conflict")
{
    processes_.at("e1").post(ticket_filed{1, write_ticket(1, "k1")});
    processes_.at("w1").post(ticket_filed{2, write_ticket(1, "k2")});
    run(1500);
    CHECK(list_stages(processes_.at("e1"), 1).back() == ticket_stage::accepted);
    CHECK(list_stages(processes_.at("w1"), 2) ==
          stages{ticket_stage::conflicting});
}

// Guards against a conflict told for one's own ticket.
TEST_CASE_FIXTURE(ticket_fixture,
                  "ticket, reply lost or filed again, is accepted")
{
    store_.lost_replies_ = 2;
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(4000);
    CHECK(list_stages(processes_.at("e1"), 1).back() == ticket_stage::accepted);
    processes_.at("w1").post(ticket_filed{2, write_ticket(1)});
    run(40);
    CHECK(list_stages(processes_.at("w1"), 2).back() == ticket_stage::accepted);
}

// Guards against a rejection because this process has not read the tickets
// before, and against numbers with gaps.
TEST_CASE_FIXTURE(ticket_fixture,
                  "tickets, filed in order at two processes, are all accepted")
{
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(40);
    processes_.at("w1").post(ticket_filed{2, write_ticket(2, "k2")});
    processes_.at("w1").post(ticket_filed{3, write_ticket(9)});
    run(2000);
    CHECK(list_stages(processes_.at("w1"), 2).back() == ticket_stage::accepted);
    CHECK(list_stages(processes_.at("w1"), 3) ==
          stages{ticket_stage::rejected});
    CHECK(accepted_config(*processes_.at("e1").control_)->number_ == 2);
}

// Guards against a revoked key that works until acceptance.
TEST_CASE_FIXTURE(ticket_fixture,
                  "ticket, key revoked with a domain cut off, stops elsewhere")
{
    processes_.at("e1").post(ticket_filed{1, write_ticket(1, "k1")});
    run(1500);
    processes_.at("w1").cut_ = true;
    processes_.at("e1").post(ticket_filed{2, write_ticket(2, "k2")});
    run(1000);
    CHECK_FALSE(accepts("e1", "k1"));
    CHECK_FALSE(accepts("e1", "k2"));
    CHECK(list_stages(processes_.at("e1"), 2) ==
          stages{ticket_stage::committed});
    CHECK(list_missing_domains(*processes_.at("e1").control_, 2) ==
          std::vector<domain_id>{domain_id("west")});
    processes_.at("w1").cut_ = false;
    run(4000);
    CHECK(list_stages(processes_.at("e1"), 2).back() == ticket_stage::accepted);
    CHECK(accepts("w1", "k2"));
}

// Guards against an acknowledgement of the previous owner that counts for a
// shard whose new owner has not seen the ticket.
TEST_CASE_FIXTURE(ticket_fixture,
                  "ticket, owner dies before its acknowledgement, waits")
{
    kill("w1");
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(1000);
    CHECK(list_stages(processes_.at("e1"), 1) ==
          stages{ticket_stage::committed});
    run(5000);
    CHECK(list_stages(processes_.at("e1"), 1).back() == ticket_stage::accepted);
}

// Guards against a ticket that is accepted while an earlier owner, cut off from
// the store, still starts work under the old configuration.
TEST_CASE_FIXTURE(ticket_fixture,
                  "ticket, new owner not ready, waits and names the domain")
{
    kill("w1");
    process_fake& next = start("w2", "west");
    next.attaches_ = false;
    run(6000);
    REQUIRE(next.serves_.size() == 2);
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(10000);
    CHECK(list_acks(next).empty());
    CHECK(list_stages(processes_.at("e1"), 1) ==
          stages{ticket_stage::committed});
    CHECK(list_missing_domains(*processes_.at("e1").control_, 1) ==
          std::vector<domain_id>{domain_id("west")});
    for (auto const& [shard, epoch] : next.serves_)
    {
        next.post(shard_ready{shard, epoch - 1});
    }
    run(2000);
    CHECK(list_acks(next).empty()); // ready under the epoch of another owner
    auto const& [first, epoch] = *next.serves_.begin();
    next.post(shard_ready{first, epoch});
    run(2000);
    CHECK(list_acks(next).size() == 1); // the other shard still waits
    CHECK(list_stages(processes_.at("e1"), 1) ==
          stages{ticket_stage::committed});
    next.post(shard_ready{next.serves_.rbegin()->first,
                          next.serves_.rbegin()->second});
    run(2000);
    CHECK(list_acks(next).size() == 2);
    CHECK(list_stages(processes_.at("e1"), 1).back() == ticket_stage::accepted);
}

// Guards against an owner that counts as ready because it was under an earlier
// epoch.
TEST_CASE_FIXTURE(ticket_fixture,
                  "ticket, shard acquired again, waits for shard_ready again")
{
    process_fake&  west = processes_.at("w1");
    shard_id const shard{domain_id("west"), 0};
    REQUIRE(west.serves_.contains(shard));
    epoch const before = west.serves_.at(shard);
    west.attaches_ = false;
    west.post(shard_fenced{shard, before + 1});
    run(6000);
    REQUIRE(list_servers(shard) == std::vector<std::string>{"w1"});
    REQUIRE(west.serves_.at(shard) > before);
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(4000);
    CHECK(list_missing_domains(*processes_.at("e1").control_, 1) ==
          std::vector<domain_id>{domain_id("west")});
    CHECK(list_acks(west).size() == 1); // of the shard that stayed
    west.post(shard_ready{shard, west.serves_.at(shard)});
    run(2000);
    CHECK(list_acks(west).size() == 2);
    CHECK(list_stages(processes_.at("e1"), 1).back() == ticket_stage::accepted);
}

// Guards against a configuration that goes back after a stale read.
TEST_CASE_FIXTURE(ticket_fixture,
                  "config, stale and repeated reads, never reverts")
{
    auto const old =
        std::get<rows_read>(store_.answer(read_rows{0, "control/", 0}));
    for (int number = 1; number <= 3; ++number)
    {
        processes_.at("e1").post(
            ticket_filed{static_cast<std::uint64_t>(number),
                         write_ticket(number, "k" + std::to_string(number))});
        run(1500);
    }
    process_fake& reader = processes_.at("w1");
    reader.told_.clear();
    reader.post(old);
    run(40);
    reader.post(rows_read{0, old.rows_, store_.revision_ + 100});
    run(1000);
    CHECK(accepted_config(*reader.control_)->number_ == 3);
    CHECK(reader.list<config_changed>().empty());
    CHECK(reader.list<shard_released>().empty());
    CHECK(accepts("w1", "k3"));
}

// Guards against a process that can't serve when it starts during an outage.
TEST_CASE_FIXTURE(ticket_fixture,
                  "snapshot, start while the store is down, gives the state")
{
    processes_.at("e1").post(ticket_filed{1, write_ticket(1)});
    run(1500);
    store_.down_ = true;
    process_fake& late = start("e2", "east");
    late.post(state_received{write_snapshot(*processes_.at("e1").control_)});
    run(100);
    CHECK(accepts("e2", "k1"));
    CHECK(find_owner(*late.control_, {domain_id("west"), 0})->host_ ==
          host_id("w1"));
    late.post(state_received{"{]"});
    late.post(state_received{R"({"rows":[{"key":7}]})"});
    run(2000);
    CHECK(accepts("e2", "k1"));
    CHECK(late.serves_.empty());
}

// Guards against a cut-off domain that starts work although its policy is to
// stop, or that stays out after contact.
TEST_CASE_FIXTURE(
    ticket_fixture,
    "domain, cut off with the stop policy, stops and serves again")
{
    processes_.at("e1").post(ticket_filed{
        1, R"({"number":1,"failure_domains":[{"id":"west","in_service":true,
               "on_cut_off":"stop","stop_after_ms":2000}]})"});
    run(1500);
    process_fake& west = processes_.at("w1");
    auto const    in_service = [&west]
    {
        return effective_config(*west.control_)
            ->domains_.at(domain_id("west"))
            .in_service_;
    };
    CHECK(in_service());
    west.cut_ = true;
    run(4000); // peers of other domains are still heard
    CHECK(in_service());
    west.isolated_ = true;
    run(1500);
    CHECK(in_service());
    run(1000);
    CHECK_FALSE(in_service());
    west.isolated_ = false;
    run(100);
    CHECK(in_service());
}

} // namespace
} // namespace fescuevane::state

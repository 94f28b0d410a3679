// Purpose: tests of who sends heartbeats to whom, and of what is found out by
// them.
#include "cell_fixture.hpp"

#include "cell/records.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

constexpr char const* east_owner = "127.0.0.1:7001";
constexpr char const* east_idle = "127.0.0.1:7004";
constexpr char const* west_idle = "127.0.0.1:7005";

// The node is host-3 of east and owns nothing. host-1 owns east, host-2 owns
// west; host-4 of east goes before the node among candidates, host-5 is of
// west.
struct heartbeats_fixture : cell_fixture
{
    heartbeats_fixture()
    {
        settings_.host_ = host_id("host-3");
        settings_.domains_ = {domain_id("east"), domain_id("west")};
        store_host("host-1", "east", east_owner, 1);
        store_host("host-2", "west", "127.0.0.1:7002", 1);
        store_host("host-4", "east", east_idle, 2);
        store_host("host-5", "west", west_idle, 1);
        store_owner("east", "host-1");
        store_owner("west", "host-2");
        start(1);
        list_target("t-1");
        // Connections exist, and the first heartbeats were answered.
        run_with({"host-1", "host-2", "host-4"}, micros_per_second);
        take<send_heartbeat>();
    }

    void store_host(std::string const& name, std::string const& domain,
                    std::string const& address, double cpu_share)
    {
        addresses_[name] = address;
        row_key const key{"member", "", "host/" + name};
        rows_[key] = {key,
                      write_host({address, domain_id(domain), cpu_share, 5}),
                      ++revision_};
    }

    void store_owner(std::string const& domain, std::string const& host)
    {
        row_key const key{"member", "0", "shard/" + domain + ".0"};
        rows_[key] = {key, write_owner({host_id(host), 5, "127.0.0.1:7001", 1}),
                      ++revision_};
    }

    void tell(std::string const& name)
    {
        heartbeat beat{.host_ = host_id(name), .incarnation_ = 5};
        if (name == "host-1" || name == "host-2")
        {
            beat.shards_ = {
                {.shard_ = {domain_id(name == "host-1" ? "east" : "west"), 0},
                 .epoch_ = 1,
                 .serving_ = true}};
        }
        post(heartbeat_received{beat});
    }

    // Owners that are well send each 300 ms; others answer what they are sent.
    void run_with(std::vector<std::string> const& well, std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (std::string const& name : well)
            {
                bool const owner = name == "host-1" || name == "host-2";
                if (owner && ++rounds_ % 3 == 0)
                {
                    tell(name);
                }
            }
            std::size_t const seen = commands_.size();
            run(step);
            for (std::size_t row = seen; row < commands_.size(); ++row)
            {
                auto const* const sent =
                    std::get_if<send_heartbeat>(&commands_[row]);
                for (std::string const& name : well)
                {
                    if (sent != nullptr && sent->address_ == addresses_[name])
                    {
                        tell(name);
                    }
                }
            }
        }
    }

    std::size_t count_sent(std::string const& address)
    {
        std::size_t count = 0;
        for (command const& order : commands_)
        {
            auto const* const sent = std::get_if<send_heartbeat>(&order);
            count += sent != nullptr && sent->address_ == address ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::string owner_of_east() const
    {
        return read_owner(rows_.at({"member", "0", "shard/east.0"}).value_)
            .host_.str();
    }

    // How long the shard of east stays with an owner that went silent.
    std::int64_t run_until_claimed(std::vector<std::string> const& well,
                                   std::int64_t                    most)
    {
        constexpr std::int64_t step = 100'000;
        std::int64_t           passed = 0;
        for (; passed < most && owner_of_east() == "host-1"; passed += step)
        {
            run_with(well, step);
        }
        return passed;
    }

    std::size_t                        rounds_ = 0;
    std::map<std::string, std::string> addresses_; // by host
};

// Guards against messages that grow with the square of the hosts: at rest they
// used most of the processor time of hosts that own nothing.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owners are well, node owns nothing, others are told seldom")
{
    run_with({"host-1", "host-2", "host-4"}, 30 * micros_per_second);
    CHECK(count_sent(west_idle) == 0);
    CHECK(count_sent(east_idle) >= 2);
    CHECK(count_sent(east_idle) <= 4);
    CHECK(count_sent(east_owner) == 0); // it tells the node anyway
}

// Guards against both hosts of a pair asking, although one answer proves both.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "other host tells first, node owns nothing, it isn't asked")
{
    for (int round = 0; round < 6; ++round)
    {
        tell("host-4");
        run_with({"host-1", "host-2"}, 5 * micros_per_second);
    }
    CHECK(count_sent(east_idle) == 0);
}

// Guards against late take-over: only owners tell hosts at the fast rate.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owner goes silent, better candidate is gone, node claims")
{
    // host-4 leaves the ranks: its silence shows by the seldom heartbeats.
    run_with({"host-1", "host-2"}, 15 * micros_per_second);
    CHECK(owner_of_east() == "host-1");
    tell("host-1");
    std::int64_t const passed =
        run_until_claimed({"host-2"}, 5 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed >= settings_.suspect_micros_);
    CHECK(passed < settings_.suspect_micros_ + settings_.claim_step_micros_);
}

// Guards against two claims at once: a host that is well keeps its place though
// it is heard seldom.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owner goes silent, better candidate is well, node waits")
{
    run_with({"host-1", "host-2", "host-4"}, 8 * micros_per_second);
    tell("host-1");
    std::int64_t const passed =
        run_until_claimed({"host-2", "host-4"}, 5 * micros_per_second);
    CHECK(passed >= settings_.suspect_micros_ + settings_.claim_step_micros_);
}

// Guards against a cell without owners: with all of them gone nobody is heard
// at the fast rate, and a host that hears nobody doesn't claim.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "all owners go silent, another host is well, node claims")
{
    run_with({"host-1", "host-2", "host-4"}, 9 * micros_per_second);
    std::int64_t const passed =
        run_until_claimed({"host-4"}, 6 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed <= 1'900'000); // silence, and the place of host-4
}

// Guards against a claim by a host that is cut off itself.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "all hosts go silent, node is alone, it claims late")
{
    run_with({"host-1", "host-2", "host-4"}, 9 * micros_per_second);
    std::int64_t const passed = run_until_claimed({}, 15 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed >= settings_.isolated_micros_ - micros_per_second);
}

// Guards against a claim that waits for a host which was never heard since the
// node started.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "host never answered, owner goes silent, it isn't waited for")
{
    start(2);
    list_target("t-1");
    run_with({"host-1", "host-2"}, 3 * micros_per_second);
    tell("host-1");
    std::int64_t const passed =
        run_until_claimed({"host-2"}, 5 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed < settings_.suspect_micros_ + settings_.claim_step_micros_);
}

// Guards against candidates that wait for a host which is about to leave.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "node is stopped, hosts of its domain are told at once")
{
    post(stop_requested{now_.after(10 * micros_per_second)});
    tick();
    auto const beats = take<send_heartbeat>();
    REQUIRE(beats.size() == 2);
    CHECK(beats[0].beat_.stopping_);
    tell("host-4");
    run_with({"host-1", "host-2", "host-4"}, 5 * micros_per_second);
    CHECK(take<send_heartbeat>().empty());
}

// Guards against hosts that own nothing and read each change of each target.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owners are well, one goes silent, targets are needed early")
{
    run_with({"host-1", "host-2", "host-4"}, 2 * micros_per_second);
    CHECK_FALSE(needs_targets(*node_));
    tell("host-1");
    run_with({"host-2", "host-4"}, 900'000);
    CHECK(needs_targets(*node_));
    CHECK(owner_of_east() == "host-1");
}

// Guards against tasks that run twice: a target that was listed after the host
// had last read the list runs tasks of the shard.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owner is silent, list of targets is old, node doesn't claim")
{
    run_with({"host-1", "host-2"}, 15 * micros_per_second);
    lists_targets_ = false;
    run_with({"host-2"}, 4 * micros_per_second);
    CHECK(owner_of_east() == "host-1");
    post(list_complete{member_list::targets});
    run_with({"host-2"}, 100'000);
    CHECK(owner_of_east() == "host-3");
    CHECK(needs_targets(*node_));
}

} // namespace
} // namespace fescuevane::cell

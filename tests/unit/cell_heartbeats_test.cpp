// Purpose: tests of the recipients of heartbeats, and of failure detection.
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
// west. host-4 of east is a better candidate than the node; host-5 belongs to
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
        // The first heartbeats have been answered.
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

    void post_heartbeat(std::string const& name)
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

    // Running owners send a heartbeat every 300 ms; other running hosts only
    // reply.
    void run_with(std::vector<std::string> const& running, std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (std::string const& name : running)
            {
                bool const owner = name == "host-1" || name == "host-2";
                if (owner && ++rounds_ % 3 == 0)
                {
                    post_heartbeat(name);
                }
            }
            std::size_t const seen = commands_.size();
            run(step);
            for (std::size_t row = seen; row < commands_.size(); ++row)
            {
                auto const* const sent =
                    std::get_if<send_heartbeat>(&commands_[row]);
                for (std::string const& name : running)
                {
                    if (sent != nullptr && sent->address_ == addresses_[name])
                    {
                        post_heartbeat(name);
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

    // Returns how long the unresponsive owner of east keeps its shard.
    std::int64_t run_until_claimed(std::vector<std::string> const& running,
                                   std::int64_t                    most)
    {
        constexpr std::int64_t step = 100'000;
        std::int64_t           passed = 0;
        for (; passed < most && owner_of_east() == "host-1"; passed += step)
        {
            run_with(running, step);
        }
        return passed;
    }

    std::size_t                        rounds_ = 0;
    std::map<std::string, std::string> addresses_; // by host
};

// Guards against a number of heartbeats that grows with the square of the
// hosts: they used most of the processor time of idle hosts.
TEST_CASE_FIXTURE(
    heartbeats_fixture,
    "owners run, node owns nothing, heartbeats to others are infrequent")
{
    run_with({"host-1", "host-2", "host-4"}, 30 * micros_per_second);
    CHECK(count_sent(west_idle) == 0);
    CHECK(count_sent(east_idle) >= 2);
    CHECK(count_sent(east_idle) <= 4);
    CHECK(count_sent(east_owner) == 0); // it sends to the node anyway
}

// Guards against heartbeats in both directions between two hosts that own
// nothing: one exchange shows that both are alive.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "other host sends first, node owns nothing, sends none to it")
{
    for (int round = 0; round < 6; ++round)
    {
        post_heartbeat("host-4");
        run_with({"host-1", "host-2"}, 5 * micros_per_second);
    }
    CHECK(count_sent(east_idle) == 0);
}

// Guards against a late takeover because of a lost candidate: only owners send
// heartbeats at the fast rate.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owner unresponsive, better candidate lost, node claims")
{
    // The infrequent heartbeats show that host-4 is unresponsive, so it is no
    // candidate any more.
    run_with({"host-1", "host-2"}, 15 * micros_per_second);
    CHECK(owner_of_east() == "host-1");
    post_heartbeat("host-1");
    std::int64_t const passed =
        run_until_claimed({"host-2"}, 5 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed >= settings_.suspect_micros_);
    CHECK(passed < settings_.suspect_micros_ + settings_.claim_step_micros_);
}

// Guards against two simultaneous claims: a running host keeps its rank
// although its heartbeats are infrequent.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owner unresponsive, better candidate runs, node waits")
{
    run_with({"host-1", "host-2", "host-4"}, 8 * micros_per_second);
    post_heartbeat("host-1");
    std::int64_t const passed =
        run_until_claimed({"host-2", "host-4"}, 5 * micros_per_second);
    CHECK(passed >= settings_.suspect_micros_ + settings_.claim_step_micros_);
}

// Guards against a cell that stays without owners: when all of them are lost,
// no heartbeats arrive at the fast rate, and a host that receives none doesn't
// claim.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "all owners unresponsive, another host runs, node claims")
{
    run_with({"host-1", "host-2", "host-4"}, 9 * micros_per_second);
    std::int64_t const passed =
        run_until_claimed({"host-4"}, 6 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed <= 1'900'000); // detection, and the rank of host-4
}

// Guards against a claim by a host that is cut off itself.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "all hosts unresponsive, node is isolated, it claims late")
{
    run_with({"host-1", "host-2", "host-4"}, 9 * micros_per_second);
    std::int64_t const passed = run_until_claimed({}, 15 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed >= settings_.isolated_micros_ - micros_per_second);
}

// Guards against a claim that waits for a host from which no heartbeat has
// arrived since the node started.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "host never replied, owner unresponsive, it isn't waited for")
{
    start(2);
    list_target("t-1");
    run_with({"host-1", "host-2"}, 3 * micros_per_second);
    post_heartbeat("host-1");
    std::int64_t const passed =
        run_until_claimed({"host-2"}, 5 * micros_per_second);
    CHECK(owner_of_east() == "host-3");
    CHECK(passed < settings_.suspect_micros_ + settings_.claim_step_micros_);
}

// Guards against candidates that wait for a host which is stopping.
TEST_CASE_FIXTURE(
    heartbeats_fixture,
    "node is stopped, hosts of its domain get a heartbeat at once")
{
    post(stop_requested{now_.after(10 * micros_per_second)});
    tick();
    auto const beats = take<send_heartbeat>();
    REQUIRE(beats.size() == 2);
    CHECK(beats[0].beat_.stopping_);
    post_heartbeat("host-4");
    run_with({"host-1", "host-2", "host-4"}, 5 * micros_per_second);
    CHECK(take<send_heartbeat>().empty());
}

// Guards against hosts that own nothing and still read every change of every
// target.
TEST_CASE_FIXTURE(heartbeats_fixture,
                  "owners run, one is unresponsive, targets are needed early")
{
    run_with({"host-1", "host-2", "host-4"}, 2 * micros_per_second);
    CHECK_FALSE(needs_targets(*node_));
    post_heartbeat("host-1");
    run_with({"host-2", "host-4"}, 900'000);
    CHECK(needs_targets(*node_));
    CHECK(owner_of_east() == "host-1");
}

// Guards against tasks that run twice: a target that was added after the host
// had last read the list may run tasks of the shard.
TEST_CASE_FIXTURE(
    heartbeats_fixture,
    "owner unresponsive, list of targets outdated, node doesn't claim")
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

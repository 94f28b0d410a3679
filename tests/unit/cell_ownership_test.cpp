// Purpose: tests of which host owns a shard, and of taking over.
#include "cell_pair_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// The node may own both shards; host-2 owns nothing until it takes one.
struct ownership_fixture : cell_fixture
{
    row_key const west_row_{"member", "0", "shard/west.0"};

    ownership_fixture()
    {
        settings_.domains_ = {domain_id("east"), domain_id("west")};
    }

    void store_row(row_key const& key, std::string const& value)
    {
        rows_[key] = {key, value, ++revision_};
    }

    void store_host(std::string const& name, std::string const& domain)
    {
        store_row({"member", "", "host/" + name},
                  write_host({"127.0.0.1:7001", domain_id(domain), 1, 5}));
    }

    void tell(std::string const& name)
    {
        post(heartbeat_received{{.host_ = host_id(name), .incarnation_ = 5}});
    }

    // Runs for some time while a host tells that it is well, and owns nothing.
    void run_beside(std::string const& name, std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            tell(name);
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
        }
    }
};

// Guards against one host that serves every shard after others were restarted
// in turn: it had too little processor time, and nobody took a shard back.
TEST_CASE_FIXTURE(
    ownership_fixture,
    "host owns both shards, other host is well, one is handed over")
{
    store_row(west_row_,
              write_owner({host_id("host-1"), 1, "127.0.0.1:7000", 4}));
    store_host("host-2", "west");
    start(2);
    list_target("t-1");
    // Until the row is released; what isn't claimed then comes back.
    for (int round = 0;
         round < 60 && !read_owner(rows_.at(west_row_).value_).released_;
         ++round)
    {
        run_beside("host-2", 100'000);
    }
    tick(); // the store's answer is applied
    owner_record const west = read_owner(rows_.at(west_row_).value_);
    CHECK(west.released_);
    CHECK(west.successor_ == host_id("host-2"));
    auto const beat = make_heartbeat(*node_);
    REQUIRE(beat.shards_.size() == 1);
    CHECK(beat.shards_[0].shard_.domain_ == domain_id("east"));
}

// Guards against a shard that wanders between hosts that each own one.
TEST_CASE_FIXTURE(
    cell_pair_fixture,
    "each host owns one shard, time passes, nothing is handed over")
{
    run_cell(5 * micros_per_second);
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    CHECK_FALSE(
        read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).released_);
}

// Guards against a second owner: a host that owned nothing had been silent for
// long, was told nothing by the new owner, and took its shard for vacant.
TEST_CASE_FIXTURE(
    ownership_fixture,
    "other host silent for long, shard is owned, it is told again")
{
    store_host("host-2", "west");
    start(2);
    list_target("t-1");
    run(20 * micros_per_second);
    take<send_heartbeat>();
    run(4 * micros_per_second);
    auto const beats = take<send_heartbeat>();
    CHECK(!beats.empty());
    CHECK(beats.size() <= 3); // but not as often as to others
}

// Guards against tasks that run twice: a former owner that is cut off together
// with the targets goes on renewing their leases.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shard taken over, no target in reach, nothing is started")
{
    settings_.domains_ = {domain_id("east")};
    serve();
    submit("aa01");
    run(50'000);
    REQUIRE(take<send_start>().size() == 1);
    row_key const key{"member", "0", "shard/east.0"};
    store_row(key, write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 6}));
    start(3);
    list_target("t-1");
    list_target("t-2");
    commands_.clear();
    auto const run_with = [this](bool second_answers, std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                second_answers&& hold.target_ == target_id("t-2")
                    ? answer_hold(hold)
                    : fail_hold(hold);
            }
        }
    };
    run_with(false, 20 * micros_per_second);
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    CHECK(take<send_start>().empty());
    run_with(true, 5 * micros_per_second);
    CHECK(take<send_start>().empty()); // the former owner learns of it first
    SUBCASE("the other target has left the list")
    {
        post(target_unlisted{target_id("t-1")});
        run_with(true, 2 * micros_per_second);
        CHECK(take<send_start>().size() == 1);
    }
    SUBCASE("the other target is listed and may tell an end")
    {
        run_with(true, 2 * micros_per_second);
        CHECK(take<send_start>().empty());
        run_with(true, 8 * micros_per_second);
        CHECK(take<send_start>().size() == 1);
    }
}

// Guards against tasks that run twice: a target that was cut off from the store
// had left the list when its shard got a new owner, and ran on.
TEST_CASE_FIXTURE(cell_fixture,
                  "target left the list lately, shard taken over, it is asked")
{
    serve();
    submit("aa01");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    row_key const key{"member", "0", "shard/east.0"};
    rows_[key] = {key, write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 6}),
                  ++revision_};
    start(3);
    list_target("t-1");
    list_target("t-2");
    tick();
    post(target_unlisted{target_id("t-1")});
    commands_.clear();
    constexpr std::int64_t step = 100'000;
    for (int round = 0; round < 30; ++round)
    {
        run(step);
        for (hold_target const& hold : take<hold_target>())
        {
            hold.target_ == target_id("t-1")
                ? answer_hold(hold, {{starts[0].start_.run_, "", 30, 0}})
                : answer_hold(hold);
        }
    }
    CHECK(take<send_start>().empty());
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
}

// Guards against a second owner: a host that had no processor time took the
// owner, whose heartbeats it hadn't read, for dead.
TEST_CASE_FIXTURE(ownership_fixture,
                  "host late, owner not heard meanwhile, shard isn't claimed")
{
    settings_.domains_ = {domain_id("east")};
    store_row({"member", "0", "shard/east.0"},
              write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 4}));
    store_host("host-2", "east");
    store_host("host-3", "east");
    start(2);
    list_target("t-1");
    auto const tell_owner = [this]
    {
        post(heartbeat_received{{.host_ = host_id("host-2"),
                                 .incarnation_ = 5,
                                 .shards_ = {{.shard_ = {domain_id("east"), 0},
                                              .epoch_ = 4,
                                              .serving_ = true}}}});
        tell("host-3");
    };
    tell_owner();
    run(500'000);
    advance(3 * micros_per_second); // without a tick
    tell("host-3");
    run(900'000);
    CHECK(make_heartbeat(*node_).shards_.empty());
    CHECK(read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).host_ ==
          host_id("host-2"));
    for (int round = 0; round < 40; ++round)
    {
        tell("host-3");
        run(100'000); // on time, and the owner stays silent
    }
    CHECK(read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).host_ ==
          host_id("host-1"));
}

// Guards against callers that are sent to a host which can accept nothing,
// while hosts elsewhere can.
TEST_CASE_FIXTURE(cell_fixture, "store out of reach, time passes, not ready")
{
    serve();
    CHECK(is_ready(*node_));
    store_down_ = true;
    submit("aa01");
    run(300'000);
    CHECK(is_ready(*node_)); // the balancer needs no word of a short outage
    run(micros_per_second);
    CHECK_FALSE(is_ready(*node_));
    store_down_ = false;
    run(500'000);
    CHECK(is_ready(*node_));
}

} // namespace
} // namespace fescuevane::cell

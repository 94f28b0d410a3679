// Purpose: tests of the choice of owners and of takeovers.
#include "cell_cluster_fixture.hpp"
#include "cell_pair_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// The node may own both shards; host-2 owns nothing until it claims one.
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

    void post_heartbeat(std::string const& name)
    {
        post(heartbeat_received{{.host_ = host_id(name), .incarnation_ = 5}});
    }

    // Runs for some time while another host, which owns nothing, sends
    // heartbeats.
    void run_beside(std::string const& name, std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            post_heartbeat(name);
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
        }
    }
};

// Guards against one host that keeps every shard after a rolling restart of the
// others: it has too little processor time for all of them.
TEST_CASE_FIXTURE(ownership_fixture,
                  "host owns both shards, other host runs, one is handed over")
{
    store_row(west_row_,
              write_owner({host_id("host-1"), 1, "127.0.0.1:7000", 4}));
    store_host("host-2", "west");
    start(2);
    list_target("t-1");
    // Until the shard is released. The node claims it again if no other host
    // does.
    for (int round = 0;
         round < 60 && !read_owner(rows_.at(west_row_).value_).released_;
         ++round)
    {
        run_beside("host-2", 100'000);
    }
    tick(); // applies the reply of the store
    owner_record const west = read_owner(rows_.at(west_row_).value_);
    CHECK(west.released_);
    CHECK(west.successor_ == host_id("host-2"));
    auto const beat = make_heartbeat(*node_);
    REQUIRE(beat.shards_.size() == 1);
    CHECK(beat.shards_[0].shard_.domain_ == domain_id("east"));
}

// Guards against shards that move between hosts which own one each.
TEST_CASE_FIXTURE(
    cell_pair_fixture,
    "each host owns one shard, time passes, nothing is handed over")
{
    run_cell(5 * micros_per_second);
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    CHECK_FALSE(
        read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).released_);
}

// Guards against a second owner: a new owner sends no heartbeats to a host that
// was unresponsive for long, and that host takes the shard for vacant.
TEST_CASE_FIXTURE(
    ownership_fixture,
    "other host unresponsive for long, shard is owned, gets heartbeats")
{
    store_host("host-2", "west");
    start(2);
    list_target("t-1");
    run(20 * micros_per_second);
    take<send_heartbeat>();
    run(4 * micros_per_second);
    auto const beats = take<send_heartbeat>();
    CHECK(!beats.empty());
    CHECK(beats.size() <= 3); // less often than to others
}

// Guards against tasks that run twice: a former owner is cut off together with
// the targets and continues to renew their leases.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shard taken over, no target reachable, nothing is started")
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
    CHECK(take<send_start>().empty()); // until the former owner has noticed
    SUBCASE("the other target was leaving and isn't listed any more")
    {
        list_target("t-1", true);
        post(target_unlisted{target_id("t-1")});
        run_with(true, 2 * micros_per_second);
        CHECK(take<send_start>().size() == 1);
    }
    SUBCASE("the other target is listed and may report an end")
    {
        run_with(true, 2 * micros_per_second);
        CHECK(take<send_start>().empty());
        run_with(true, 8 * micros_per_second);
        CHECK(take<send_start>().size() == 1);
    }
}

// Guards against tasks that run twice: an owner takes a shard over and releases
// it before the owner in front of it, which is cut off, has learned of that.
// The third owner can't reach a target on which the first one renews leases.
TEST_CASE_FIXTURE(ownership_fixture,
                  "shard released soon after a takeover, target not reached, "
                  "waits for the owner before")
{
    constexpr std::int64_t lease = 4'500'000;  // with slack
    constexpr std::int64_t notice = 2'200'000; // of a higher epoch
    settings_.domains_ = {domain_id("east")};
    serve();
    submit("aa01");
    run(50'000);
    REQUIRE(take<send_start>().size() == 1);
    bool exclusive = false;
    SUBCASE("the releasing owner was the only one left")
    {
        exclusive = true;
    }
    SUBCASE("an earlier owner may be left") {}
    row_key const key{"member", "0", "shard/east.0"};
    store_row(key, write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 6, true,
                                host_id("host-1"), exclusive}));
    start(3);
    list_target("t-1", true);
    list_target("t-2");
    post(target_unlisted{target_id("t-1")}); // no end is awaited from it
    commands_.clear();
    run(300'000);
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    auto const run_without_t1 = [this](std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                hold.target_ == target_id("t-2") ? answer_hold(hold)
                                                 : fail_hold(hold);
            }
            run(step);
        }
        return take<send_start>().size();
    };
    CHECK(run_without_t1(lease) == (exclusive ? 1 : 0));
    CHECK(run_without_t1(notice) == (exclusive ? 0 : 1));
}

// Guards against two owners that both act: one that has no store learns from
// another host that its shard was taken over, before it calls a target.
TEST_CASE_FIXTURE(ownership_fixture,
                  "store down, heartbeat with a higher epoch, shard is dropped")
{
    settings_.domains_ = {domain_id("east")};
    serve();
    epoch const mine = make_heartbeat(*node_).shards_.at(0).epoch_;
    store_down_ = true;
    heartbeat beat{.host_ = host_id("host-2"), .incarnation_ = 5};
    beat.shards_.push_back({.shard_ = {domain_id("east"), 0}, .epoch_ = mine});
    post(heartbeat_received{beat});
    tick();
    CHECK(owns_shards(*node_));
    beat.shards_[0].epoch_ = mine + 1;
    post(heartbeat_received{beat});
    tick();
    CHECK_FALSE(owns_shards(*node_));
    take<hold_target>();
    run(micros_per_second);
    CHECK(take<hold_target>().empty());
}

// Guards against tasks that run twice: a target that is cut off from the store
// is removed from the list before a takeover, and still runs its tasks.
TEST_CASE_FIXTURE(cell_fixture,
                  "target recently unlisted, shard taken over, it is queried")
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

// Guards against a second owner: a host that got no processor time takes the
// owner for lost, since it hasn't read its heartbeats.
TEST_CASE_FIXTURE(
    ownership_fixture,
    "host late, heartbeats of the owner unread, shard isn't claimed")
{
    settings_.domains_ = {domain_id("east")};
    store_row({"member", "0", "shard/east.0"},
              write_owner({host_id("host-2"), 5, "127.0.0.1:7001", 4}));
    store_host("host-2", "east");
    store_host("host-3", "east");
    start(2);
    list_target("t-1");
    auto const post_owner_heartbeat = [this]
    {
        post(heartbeat_received{{.host_ = host_id("host-2"),
                                 .incarnation_ = 5,
                                 .shards_ = {{.shard_ = {domain_id("east"), 0},
                                              .epoch_ = 4,
                                              .serving_ = true}}}});
        post_heartbeat("host-3");
    };
    post_owner_heartbeat();
    run(500'000);
    advance(3 * micros_per_second); // without a tick
    post_heartbeat("host-3");
    run(900'000);
    CHECK(make_heartbeat(*node_).shards_.empty());
    CHECK(read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).host_ ==
          host_id("host-2"));
    for (int round = 0; round < 40; ++round)
    {
        post_heartbeat("host-3");
        run(100'000); // on time, without heartbeats of the owner
    }
    CHECK(read_owner(rows_.at({"member", "0", "shard/east.0"}).value_).host_ ==
          host_id("host-1"));
}

// Guards against a load balancer that sends callers to a host which can't
// accept jobs while others can.
TEST_CASE_FIXTURE(cell_fixture, "store unreachable, time passes, not ready")
{
    serve();
    CHECK(is_ready(*node_));
    store_down_ = true;
    submit("aa01");
    run(300'000);
    CHECK(is_ready(*node_)); // short outages aren't reported
    run(micros_per_second);
    CHECK_FALSE(is_ready(*node_));
    store_down_ = false;
    run(500'000);
    CHECK(is_ready(*node_));
}

// One failure domain of two shards.
struct two_shard_fixture : cell_cluster_fixture
{
    two_shard_fixture() { list_two_racks(); }

    // The host that serves the shard; checks that there is only one.
    std::string find_owner(std::string const& shard)
    {
        std::string owner;
        for (auto const& [name, address] : addresses_)
        {
            if (members_.at(address).node_ && list_served(name).contains(shard))
            {
                CHECK(owner.empty());
                owner = name;
            }
        }
        return owner;
    }

    epoch epoch_of(std::string const& shard)
    {
        return stored_owner(shard).epoch_;
    }
};

// Guards against one host that holds all targets of a domain while another one
// of the same size holds none: overloaded, it let leases lapse.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "two equal hosts, two shards, each owns one and keeps it")
{
    add_host("host-1");
    add_host("host-2");
    run(3 * micros_per_second);
    CHECK(list_served("host-1").size() == 1);
    CHECK(list_served("host-2").size() == 1);
    run(20 * micros_per_second);
    CHECK(epoch_of("east.0") == 1);
    CHECK(epoch_of("east.1") == 1);
}

// Guards against a host with little processor time that owns a shard although a
// larger one is available.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "large and small hosts, two shards, large ones own them")
{
    for (int small = 0; small < 4; ++small)
    {
        add_host("a-small-" + std::to_string(small), 0.12);
    }
    add_host("large-1");
    add_host("large-2");
    run(20 * micros_per_second);
    CHECK(list_served("large-1").size() == 1);
    CHECK(list_served("large-2").size() == 1);
    CHECK(epoch_of("east.0") + epoch_of("east.1") == 2);
}

// Guards against a small host that owns a shard although a large one would have
// more processor time left for it.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "one large and one small host, large one owns both")
{
    add_host("a-small", 0.12);
    add_host("large");
    run(20 * micros_per_second);
    CHECK(list_served("large").size() == 2);
    CHECK(list_served("a-small").empty());
}

// Guards against a smaller host without shards although the larger one has less
// processor time left for each of its own.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "large host slightly larger, two shards, each owns one")
{
    add_host("a-small", 0.4);
    add_host("large", 0.5);
    run(20 * micros_per_second);
    CHECK(list_served("large").size() == 1);
    CHECK(list_served("a-small").size() == 1);
}

// Guards against shards that all stay with one host after a failure, and
// against shards that move back and forth.
TEST_CASE_FIXTURE(
    two_shard_fixture,
    "host owns two, equal one starts, one is handed over and stays")
{
    add_host("host-1");
    run(4 * micros_per_second);
    REQUIRE(list_served("host-1").size() == 2);
    add_host("host-2");
    run(8 * micros_per_second);
    CHECK(list_served("host-1").size() == 1);
    CHECK(list_served("host-2").size() == 1);
    epoch const changes = epoch_of("east.0") + epoch_of("east.1");
    CHECK(changes == 3);
    run(20 * micros_per_second);
    CHECK(epoch_of("east.0") + epoch_of("east.1") == changes);
}

// Guards against several owners that all hand over a shard to the same host.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "two hosts of two domains own four, third starts, few moves")
{
    defaults_.domains_ = {domain_id("east"), domain_id("west")};
    list_two_racks("west");
    add_host("host-1");
    add_host("host-2", 0.5, "west");
    run(6 * micros_per_second);
    REQUIRE(list_served("host-1").size() == 2);
    REQUIRE(list_served("host-2").size() == 2);
    add_host("host-3");
    run(20 * micros_per_second);
    CHECK(list_served("host-1").size() == 1);
    CHECK(list_served("host-2") == std::set<std::string>{"west.0", "west.1"});
    CHECK(list_served("host-3").size() == 1);
    epoch const changes = epoch_of("east.0") + epoch_of("east.1") +
                          epoch_of("west.0") + epoch_of("west.1");
    CHECK(changes == 5);
}

// Guards against the loss of one owner that disturbs other shards of the
// domain.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "owner killed, its shard is taken over, the other one isn't")
{
    add_host("host-1");
    add_host("host-2");
    run(3 * micros_per_second);
    REQUIRE(list_served("host-1").size() == 1);
    REQUIRE(list_served("host-2").size() == 1);
    std::string const lost = *list_served("host-1").begin();
    std::string const kept = *list_served("host-2").begin();
    submit("host-1", "aa01");
    submit("host-2", "aa02");
    run(micros_per_second);
    kill("host-1");
    run(15 * micros_per_second);
    CHECK(find_owner(lost) == "host-2");
    CHECK(epoch_of(lost) == 2);
    CHECK(epoch_of(kept) == 1);
    for (auto const& [run, count] : starts_)
    {
        CHECK(count == 1);
    }
    CHECK(starts_.size() == 2);
}

// Guards against work that is lost or repeated when all hosts are killed at
// once.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "everything killed, started again, both shards recover")
{
    add_host("host-1");
    add_host("host-2");
    run(3 * micros_per_second);
    for (int job = 0; job < 6; ++job)
    {
        submit("host-1", "aa0" + std::to_string(job));
        run(100'000);
    }
    run(micros_per_second);
    REQUIRE(starts_.size() == 6);
    layout_record const layout = stored_layout();
    kill("host-1");
    kill("host-2");
    run(micros_per_second);
    start("host-1");
    start("host-2");
    run(20 * micros_per_second);
    CHECK(stored_layout() == layout);
    CHECK(!find_owner("east.0").empty());
    CHECK(!find_owner("east.1").empty());
    CHECK(starts_.size() == 6);
    for (int job = 0; job < 6; ++job)
    {
        std::string const   id = "aa0" + std::to_string(job);
        std::uint64_t const call = ask("host-2", call_kind::lookup, id);
        run(500'000);
        REQUIRE(find_answer("host-2", call));
        CHECK(find_answer("host-2", call)->outcome_ == job_outcome::known);
    }
}

// Guards against jobs that a host reports as unknown because they belong to
// another shard of its domain.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "jobs in both shards, looked up at any host, found")
{
    add_host("host-1");
    add_host("host-2");
    add_host("small", 0.12);
    run(3 * micros_per_second);
    std::set<std::string> shards;
    for (int job = 0; job < 6; ++job)
    {
        submit("small", "aa0" + std::to_string(job));
        run(400'000);
    }
    for (auto const& [key, row] : rows_)
    {
        if (key.table_ == "job")
        {
            shards.insert(write_shard_name(read_job(row.value_).shard_));
        }
    }
    CHECK(shards.size() == 2); // the next job goes to the lower load
    add_host("fresh", 0.12);
    run(micros_per_second);
    for (std::string const host : {"host-1", "host-2", "small", "fresh"})
    {
        for (int job = 0; job < 6; ++job)
        {
            std::string const   id = "aa0" + std::to_string(job);
            std::uint64_t const call = ask(host, call_kind::lookup, id);
            run(200'000);
            REQUIRE(find_answer(host, call));
            CHECK(find_answer(host, call)->outcome_ == job_outcome::known);
        }
    }
    std::uint64_t const unknown = ask("fresh", call_kind::lookup, "ffff");
    run(200'000);
    REQUIRE(find_answer("fresh", unknown));
    CHECK(find_answer("fresh", unknown)->outcome_ == job_outcome::absent);
}

// Guards against one job that two shards accept because its caller submitted it
// at two hosts.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "job submitted at both owners at once, runs once")
{
    add_host("host-1");
    add_host("host-2");
    run(3 * micros_per_second);
    auto const first = submit("host-1", "aa01");
    auto const second = submit("host-2", "aa01");
    run(micros_per_second);
    REQUIRE(find_answer("host-1", first));
    REQUIRE(find_answer("host-2", second));
    CHECK(find_answer("host-1", first)->outcome_ == job_outcome::accepted);
    CHECK(find_answer("host-2", second)->outcome_ == job_outcome::accepted);
    CHECK(starts_.size() == 1);
}

// Guards against a gang that is placed in a shard with too few targets and
// waits there until it is delegated.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "gang fits one shard only, submitted, goes there")
{
    list_target("t-big1", "eastr-2");
    list_target("t-big2", "eastr-2");
    list_target("t-big3", "eastr-2");
    defaults_.targets_per_shard_ = 4; // two shards of seven targets
    add_host("host-1");
    add_host("host-2");
    run(3 * micros_per_second);
    std::string const wide = write_shard_name(
        {domain_id("east"), stored_layout().racks_.at(rack_id("eastr-2"))});
    submit("host-1", "aa01",
           {{.count_ = 5,
             .demand_ = {3000, 512, 0},
             .estimate_ms_ = 1000,
             .gang_ = true}});
    run(micros_per_second);
    CHECK(starts_.size() == 5);
    std::string owner = find_owner(wide);
    CHECK(!owner.empty());
    for (auto const& [key, row] : rows_)
    {
        if (key.table_ == "job")
        {
            CHECK(write_shard_name(read_job(row.value_).shard_) == wide);
        }
    }
}

// Guards against a host that sends all jobs to the same shard until its next
// heartbeat reports the load.
TEST_CASE_FIXTURE(two_shard_fixture,
                  "jobs between two heartbeats, submitted, spread over shards")
{
    add_host("host-1");
    add_host("host-2");
    run(3 * micros_per_second);
    for (int job = 0; job < 40; ++job)
    {
        submit("host-1", "aa" + std::to_string(10 + job));
    }
    run(100'000);
    std::map<std::string, int> jobs;
    for (auto const& [key, row] : rows_)
    {
        if (key.table_ == "job")
        {
            ++jobs[write_shard_name(read_job(row.value_).shard_)];
        }
    }
    CHECK(jobs["east.0"] + jobs["east.1"] == 40);
    CHECK(jobs["east.0"] > 10);
    CHECK(jobs["east.1"] > 10);
}

// A restarted host that has read all rows except the configuration.
struct unconfigured_fixture : cell_fixture
{
    std::vector<send_start> starts_;

    unconfigured_fixture()
    {
        start(1);
        serve();
        submit("aa01");
        run(200'000);
        starts_ = take<send_start>();
        REQUIRE(starts_.size() == 1);
        settings_.incarnation_ = 2;
        commands_.clear();
        needed_targets_ = true;
        node_ = make_node(settings_, now_);
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ == "member")
            {
                post(member_row_changed{row});
            }
        }
        list_target("t-1");
        post(list_complete{member_list::members});
        post(list_complete{member_list::targets});
    }

    // Runs while the target reports that the run has failed.
    void run_failed(std::int64_t micros)
    {
        constexpr std::int64_t step = 50'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold, {},
                            {{1, starts_[0].start_.run_, run_end::failed, ""}});
            }
        }
    }
};

// Guards against a job that fails after its first attempt because a new owner
// doesn't know yet how many attempts the queue allows.
TEST_CASE_FIXTURE(unconfigured_fixture,
                  "shard of an earlier process, no configuration yet, run "
                  "failed, starts again")
{
    run_failed(3 * micros_per_second);
    post(config_changed{make_config()});
    run_failed(3 * micros_per_second);
    auto const again = take<send_start>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].start_.run_.run_ > starts_[0].start_.run_.run_);
}

// Guards against starts above the limits of an organisation or without tickets:
// an owner without a configuration starts a job that another host accepted.
TEST_CASE_FIXTURE(cell_fixture,
                  "first owner, no configuration yet, job submitted, starts "
                  "with the configuration")
{
    node_ = make_node(settings_, now_);
    post(list_complete{member_list::members});
    post(list_complete{member_list::targets});
    serve();
    post(peer_called{1,
                     {.kind_ = call_kind::submit,
                      .id_ = job_id("aa01"),
                      .shard_ = {domain_id("east"), 0},
                      .job_ = std::make_shared<staged_job const>(
                          staged_job{.id_ = job_id("aa01"),
                                     .organisation_ = organisation_id("cafe"),
                                     .queue_ = queue_id("orders"),
                                     .service_ = service_id("desk"),
                                     .payload_ = "work",
                                     .steps_ = {{.demand_ = {1000, 512, 0}}}}),
                      .deadline_ = now_.after(micros_per_second)}});
    run(200'000);
    auto const replies = take<reply_peer>();
    REQUIRE(replies.size() == 1);
    REQUIRE(replies[0].answer_.outcome_ == job_outcome::accepted);
    CHECK(take<send_start>().empty());
    post(config_changed{make_config()});
    run(100'000);
    CHECK(take<send_start>().size() == 1);
}

} // namespace
} // namespace fescuevane::cell

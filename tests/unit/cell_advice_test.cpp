// Purpose: tests of the choice of the host that queries the policy service.
#include "cell_cluster_fixture.hpp"
#include "cell_pair_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// Requests for `checks` are long, those for `orders` short. The node and host-2
// own shards, host-3 owns nothing.
struct advice_proxy_fixture : cell_pair_fixture
{
    advice_proxy_fixture()
    {
        auto config = std::make_shared<cell_config>(*make_config());
        config->version_ = 2;
        cell::queue_route checks = config->routes_[0];
        config->routes_[0].policy_.advice_ = advice_policy{20, 0.3, 2000};
        checks.policy_.id_ = queue_id("checks");
        checks.policy_.advice_ = advice_policy{400, 6, 2000};
        checks.prefix_ = "/checks/";
        config->routes_.push_back(checks);
        post(config_changed{config});
        post(member_row_changed{
            {{"member", "", "host/host-3"},
             write_host({"127.0.0.1:7002", domain_id("west"), 1, 5}),
             ++revision_}});
        post(heartbeat_received{
            {.host_ = host_id("host-3"), .incarnation_ = 5}});
        west_.used_ = {4000, 8192, 0}; // jobs go to east
        run_cell(100'000);
    }

    void submit_check(std::string const& id)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id(id),
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job_id(id),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("checks"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {{.count_ = 1,
                                         .demand_ = {1000, 512, 0},
                                         .estimate_ms_ = 1000}},
                             .accepted_unix_ms_ = unix_ms_}),
                         .deadline_ = now_.after(3 * micros_per_second)});
    }

    // Addresses of the advice proxies that were chosen; empty: the node itself.
    std::vector<std::string> list_advice_proxies()
    {
        std::vector<std::string> addresses;
        for (send_question const& request : take<send_question>())
        {
            addresses.push_back(request.address_);
        }
        return addresses;
    }
};

// Guards against steps that wait for the policy service while owners could
// query it: the other hosts were busy, and owners had no urgent work.
TEST_CASE_FIXTURE(
    advice_proxy_fixture,
    "owner without urgent work, other host busy, sends the request itself")
{
    submit_check("aa01");
    submit_check("aa02");
    run(100'000);
    CHECK(list_advice_proxies() ==
          std::vector<std::string>{"127.0.0.1:7002", ""});
}

// Guards against urgent work that waits behind a long request of its owner.
TEST_CASE_FIXTURE(advice_proxy_fixture,
                  "owner has urgent request, long requests go elsewhere")
{
    submit("aa00");
    run(100'000);
    CHECK(list_advice_proxies() == std::vector<std::string>{""});
    submit_check("aa01");
    submit_check("aa02");
    run(100'000);
    CHECK(list_advice_proxies() ==
          std::vector<std::string>{"127.0.0.1:7002", "127.0.0.1:7002"});
}

// Host-3 to host-14 own nothing.
struct idle_hosts_fixture : advice_proxy_fixture
{
    std::optional<std::uint32_t> west_wanted_;

    idle_hosts_fixture()
    {
        for (int host = 4; host <= 14; ++host)
        {
            std::string const name = "host-" + std::to_string(host);
            post(member_row_changed{
                {{"member", "", "host/" + name},
                 write_host({"127.0.0.1:" + std::to_string(7000 + host),
                             domain_id("east"), 1, 5}),
                 ++revision_}});
        }
        for (char const* const target : {"t-2", "t-3", "t-4"})
        {
            list_target(target);
        }
    }

    // Longer than between two counts; all hosts send heartbeats.
    void run_idle_hosts()
    {
        for (int round = 0; round < 12; ++round)
        {
            for (int host = 3; host <= 14; ++host)
            {
                post(heartbeat_received{
                    {.host_ = host_id("host-" + std::to_string(host)),
                     .incarnation_ = 5}});
            }
            post(heartbeat_received{
                {.host_ = host_id("host-2"),
                 .incarnation_ = 5,
                 .shards_ = {{.shard_ = {domain_id("west"), 0},
                              .epoch_ = 1,
                              .serving_ = true,
                              .load_ = west_,
                              .wanted_requests_ = west_wanted_}}}});
            run(100'000);
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold, running_);
            }
        }
    }

    std::size_t count_requests_of(int jobs)
    {
        run_idle_hosts();
        take<send_question>();
        for (int job = 0; job < jobs; ++job)
        {
            submit_check("aa" + std::to_string(10 + job));
        }
        run(100'000);
        run_idle_hosts();
        run_idle_hosts();
        return list_advice_proxies().size();
    }
};

// Guards against tasks that wait for tickets beside free targets while most
// hosts of a large cell are idle. The other owner is of an earlier version.
TEST_CASE_FIXTURE(idle_hosts_fixture,
                  "twelve idle hosts and two shards, many long requests, six "
                  "are in flight")
{
    CHECK(count_requests_of(9) == 6);
}

// Guards against new demand that has to wait for the next count.
TEST_CASE_FIXTURE(idle_hosts_fixture,
                  "twelve idle hosts and two shards, many long requests, six "
                  "are in flight at once")
{
    run_idle_hosts();
    take<send_question>();
    for (int job = 0; job < 9; ++job)
    {
        submit_check("aa" + std::to_string(10 + job));
    }
    run(100'000);
    CHECK(list_advice_proxies().size() == 6);
}

// Guards against hosts that stay idle because they count for a shard that asks
// nothing, for example of a failure domain without targets.
TEST_CASE_FIXTURE(idle_hosts_fixture,
                  "other shard wants no requests, many long requests, all idle "
                  "hosts have one")
{
    west_wanted_ = 0;
    CHECK(count_requests_of(13) == 12);
}

// Guards against a shard whose demand takes the share of another one.
TEST_CASE_FIXTURE(idle_hosts_fixture,
                  "other shard wants more than all, many long requests, half "
                  "of the hosts have one")
{
    west_wanted_ = 100;
    CHECK(count_requests_of(13) == 6);
}

// Two owners of shards of one failure domain, and six hosts that own nothing.
struct two_owners_fixture : cell_cluster_fixture
{
    two_owners_fixture()
    {
        for (int host = 1; host <= 8; ++host)
        {
            add_host("host-" + std::to_string(host));
        }
        list_two_racks();
        set_advice(advice_policy{400, 6, 2000});
        run(5 * micros_per_second);
    }

    std::vector<std::string> list_owners()
    {
        std::vector<std::string> owners;
        for (auto const& [name, address] : addresses_)
        {
            if (!list_served(name).empty())
            {
                owners.push_back(name);
            }
        }
        return owners;
    }
};

// Guards against owners that choose the same hosts while others idle: each
// knows its own requests only.
TEST_CASE_FIXTURE(two_owners_fixture,
                  "owners have three long requests each, each host gets one")
{
    std::vector<std::string> const owners = list_owners();
    REQUIRE(owners.size() == 2);
    for (int job = 0; job < 6; ++job)
    {
        submit(owners.at(job % 2), "aa0" + std::to_string(job));
    }
    run(200'000);
    CHECK(advice_due_.size() == 6);
    CHECK(advice_busy_.size() == 6);
}

} // namespace
} // namespace fescuevane::cell

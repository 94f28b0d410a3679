// Purpose: tests of the hosts that send short requests to the policy service
// for owners, under a burst and when one of them dies.
#include "cell_cluster_fixture.hpp"

#include "cell/node.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// Two owners of shards of one failure domain, and six hosts that own nothing.
struct advice_pool_fixture : cell_cluster_fixture
{
    advice_pool_fixture()
    {
        defaults_.advice_pool_ = true;
        for (int host = 1; host <= 8; ++host)
        {
            add_host("host-" + std::to_string(host));
        }
        list_two_racks();
        set_advice(advice_policy{40, 0.4, 2000});
        run(5 * micros_per_second);
    }

    std::string find_owner()
    {
        for (auto const& [name, address] : addresses_)
        {
            if (!list_served(name).empty())
            {
                return name;
            }
        }
        return "";
    }

    // A request of another host.
    void hold_at(std::string const& name, std::int64_t service_micros)
    {
        passed_[++last_call_] = {addresses_.at("host-1"), 999};
        post_event(*find(name).node_,
                   question_received{
                       last_call_,
                       {.question_ = {.stage_ = {job_id("aa01"), 0, 0},
                                      .targets_ = {target_id("t-easta")}},
                        .deadline_ = now_.after(30 * micros_per_second),
                        .service_micros_ = service_micros}});
    }

    void submit_burst(std::string const& owner, int jobs)
    {
        for (int job = 0; job < jobs; ++job)
        {
            submit(owner, "aa" + std::to_string(10 + job),
                   {{.demand_ = {400, 256, 0}, .estimate_ms_ = 1000}});
        }
    }
};

// Guards against urgent work that waits for the turns of two owners while other
// hosts are idle: eight requests of each take 0.33 s in sequence.
TEST_CASE_FIXTURE(advice_pool_fixture,
                  "burst of sixteen short requests, idle hosts, all start in "
                  "0.2 s")
{
    submit_burst(find_owner(), 16);
    run(200'000);
    CHECK(advice_busy_.size() >= 4);
    CHECK(starts_.size() == 16);
    CHECK(invalid_tickets_ == 0);
}

// Guards against tasks without a ticket for the whole deadline of a call, more
// than 4 s, and against a wait without end.
TEST_CASE_FIXTURE(advice_pool_fixture,
                  "asking hosts die with requests in hand, all tasks start in "
                  "3 s")
{
    std::string const owner = find_owner();
    submit_burst(owner, 8);
    run(30'000);
    for (auto const& [name, address] : addresses_)
    {
        if (list_served(name).empty())
        {
            kill(name);
        }
    }
    CHECK(starts_.size() < 8);
    run(3 * micros_per_second);
    CHECK(starts_.size() == 8);
    CHECK(invalid_tickets_ == 0);
}

// Guards against a long request that a stream of short ones holds back without
// end: one of 20 ms every 10 ms, for 4 s.
TEST_CASE_FIXTURE(advice_pool_fixture,
                  "short requests without a pause, long one held, it is sent "
                  "after the longest hold")
{
    hold_at("host-8", 20'000);
    hold_at("host-8", 20'000);
    hold_at("host-8", 300'000);
    std::int64_t const held_ms = unix_ms_;
    node const&        host = *find("host-8").node_;
    instant const      before = host.long_sent_at_;
    while (host.long_sent_at_ == before && unix_ms_ < held_ms + 4000)
    {
        hold_at("host-8", 20'000);
        run(10'000);
    }
    CHECK(unix_ms_ - held_ms >= 1990);
    CHECK(unix_ms_ - held_ms < 2200);
}

// Guards against owners that send to a host which others already use.
TEST_CASE_FIXTURE(advice_pool_fixture,
                  "host holds a request, its heartbeat, reports the wait")
{
    member& host = find("host-8");
    CHECK(make_heartbeat(*host.node_).advice_wait_micros_ == 0);
    hold_at("host-8", 300'000);
    run(10'000);
    CHECK(make_heartbeat(*host.node_).advice_wait_micros_ == 300'000);
}

// Guards against requests to hosts of an earlier version, and to the own one,
// that count as busy long after they were answered: no heartbeat corrects it.
TEST_CASE_FIXTURE(advice_pool_fixture,
                  "burst sent to hosts whose heartbeats report no wait, wait "
                  "isn't estimated")
{
    std::string const owner = find_owner();
    node&             sender = *find(owner).node_;
    submit_burst(owner, 16);
    for (int round = 0; round < 20 && sender.questions_.empty(); ++round)
    {
        for (advice_proxy_row& proxy : sender.askers_)
        {
            proxy.wait_reported_ = false;
            proxy.shared_busy_until_ = now_;
        }
        run(10'000);
    }
    CHECK_FALSE(sender.questions_.empty());
    for (advice_proxy_row const& proxy : sender.askers_)
    {
        CHECK(proxy.shared_busy_until_ <= now_);
    }
}

// One host that asks for others, with a request of 300 ms.
struct silent_service_fixture : cell_fixture
{
    silent_service_fixture()
    {
        settings_.advice_pool_ = true;
        start(2);
        run(10'000);
        post(question_received{1,
                               {.question_ = {.stage_ = {job_id("aa01"), 0, 0},
                                              .targets_ = {target_id("t-1")}},
                                .deadline_ = now_.after(60 * micros_per_second),
                                .service_micros_ = 300'000}});
        tick();
    }
};

// Guards against a host that sends nothing until the deadline of a request that
// the service doesn't answer.
TEST_CASE_FIXTURE(silent_service_fixture,
                  "request with a late deadline, sent, it ends with the slack "
                  "after its expected reply")
{
    auto const sent = take<send_question>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].deadline_ ==
          now_.after(300'000 + settings_.advice_slack_micros_));
}

// Guards against owners that send to a host whose service doesn't answer.
TEST_CASE_FIXTURE(silent_service_fixture,
                  "request without a reply past its time, backlog, grows")
{
    advance(200'000);
    tick();
    CHECK(find_advice_backlog(*node_) == 100'000);
    advance(600'000);
    tick();
    CHECK(find_advice_backlog(*node_) == 500'000);
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of the choice of a shard for new jobs.
#include "cell_fixture.hpp"

#include "cell/node.hpp"
#include "cell/route_job.hpp"
#include "cell/settings.hpp"
#include "core/staged_job.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <string>
#include <vector>

namespace fescuevane::cell
{
namespace
{

constexpr std::int64_t cores = 1000; // in thousandths

shard_demand make_demand(std::int64_t wanted, std::int64_t sent = 0,
                         std::int64_t freed = 100)
{
    return {.capacity_ = {400 * cores, 400'000, 0},
            .wanted_ = {wanted * cores, 1000, 0},
            .sent_ = {sent * cores, 0, 0},
            .freed_ = {freed * cores, 1000, 0}};
}

// Demand over several failure domains, each with one shard of 400 cores. Demand
// in each one swings by half in 17 s, and the swing moves from one to the next.
// Jobs take 20 cores for 2 s; loads are known from heartbeats 0.3 s apart.
struct moving_demand_fixture
{
    static constexpr std::size_t domains = 4;
    static constexpr std::size_t hosts = 10; // in each domain
    static constexpr int         beat_ticks = 30;
    static constexpr int         run_ticks = 200;
    static constexpr int         ticks_a_second = 100;
    static constexpr double      swing_s = 17;

    struct domain_row
    {
        double           queued_ = 0;   // cores
        std::vector<int> ends_;         // of runs, in ticks, oldest first
        std::int64_t     reported_ = 0; // cores wanted at the heartbeat
        double           due_ = 0;      // fraction of the next job
    };

    settings                         settings_;
    double                           mean_jobs_a_second_ = 8; // 80% of the room
    std::array<domain_row, domains>  domains_;
    std::vector<std::vector<double>> sent_; // by host and domain, cores
    std::vector<double>              waits_s_;
    int                              moved_ = 0;
    int                              jobs_ = 0;

    moving_demand_fixture()
        : sent_(domains * hosts, std::vector<double>(domains))
    {
    }

    static std::string name_of(std::size_t domain)
    {
        return "domain-" + std::to_string(domain);
    }

    std::int64_t running(std::size_t domain) const
    {
        return 20 * static_cast<std::int64_t>(domains_[domain].ends_.size());
    }

    std::size_t route(std::size_t home, std::size_t host,
                      route_policy const& policy)
    {
        std::vector<route_option> options;
        for (std::size_t to = 0; to < domains; ++to)
        {
            options.push_back(
                {.shard_ = {domain_id(name_of(to)), 0},
                 .remote_ = to != home,
                 .demand_ = make_demand(
                     domains_[to].reported_,
                     static_cast<std::int64_t>(sent_[host][to]), 200)});
        }
        job_id const job("job-" + std::to_string(jobs_++));
        auto const   chosen = choose_route(
              policy, {job, {20 * cores, 1000, 0}, settings_}, options);
        return static_cast<std::size_t>(
            std::stoul(chosen->domain_.str().substr(7)));
    }

    void arrive(int tick, route_policy const& policy)
    {
        for (std::size_t home = 0; home < domains; ++home)
        {
            double const phase =
                static_cast<double>(tick) / ticks_a_second / swing_s +
                static_cast<double>(home) / domains;
            domains_[home].due_ +=
                mean_jobs_a_second_ *
                (1 + 0.5 * std::sin(2 * std::numbers::pi * phase)) /
                ticks_a_second;
            for (; domains_[home].due_ >= 1; domains_[home].due_ -= 1)
            {
                std::size_t const host =
                    home * hosts + static_cast<std::size_t>(jobs_) % hosts;
                std::size_t const to = route(home, host, policy);
                sent_[host][to] += 20;
                domains_[to].queued_ += 20;
                moved_ += to == home ? 0 : 1;
                waits_s_.push_back(domains_[to].queued_ / 200);
            }
        }
    }

    void play(int seconds, route_policy const& policy)
    {
        for (int tick = 0; tick < seconds * ticks_a_second; ++tick)
        {
            arrive(tick, policy);
            for (domain_row& domain : domains_)
            {
                std::erase_if(domain.ends_,
                              [tick](int end)
                              {
                                  return end <= tick;
                              });
                while (domain.queued_ >= 20 && domain.ends_.size() < 20)
                {
                    domain.queued_ -= 20;
                    domain.ends_.push_back(tick + run_ticks);
                }
            }
            if (tick % beat_ticks == 0)
            {
                report();
            }
        }
    }

    void report()
    {
        for (std::size_t at = 0; at < domains; ++at)
        {
            domains_[at].reported_ =
                running(at) + static_cast<std::int64_t>(domains_[at].queued_);
        }
        for (std::vector<double>& row : sent_)
        {
            std::fill(row.begin(), row.end(), 0);
        }
    }

    double longest_wait_s() const
    {
        return *std::max_element(waits_s_.begin(), waits_s_.end());
    }
};

} // namespace

TEST_CASE("expected wait: a shard with room: none")
{
    CHECK(expect_wait_s(make_demand(200), {20 * cores, 1000, 0}) == 0);
}

TEST_CASE("expected wait: a full shard: excess over what running tasks free")
{
    // 400 wanted and 20 more, of 360 usable; 100 come free in a second.
    CHECK(expect_wait_s(make_demand(400), {20 * cores, 1000, 0}) ==
          doctest::Approx(0.6));
}

TEST_CASE("expected wait: jobs sent since the heartbeat: counted")
{
    CHECK(expect_wait_s(make_demand(340, 60), {20 * cores, 1000, 0}) ==
          doctest::Approx(0.6));
}

TEST_CASE("expected wait: memory is scarcer than processors: memory decides")
{
    shard_demand const shard{.capacity_ = {400 * cores, 1000, 0},
                             .wanted_ = {10 * cores, 1900, 0},
                             .freed_ = {100 * cores, 500, 0}};
    CHECK(expect_wait_s(shard, {0, 0, 0}) == doctest::Approx(2));
}

TEST_CASE("expected wait: nothing reported as freed: a bounded guess")
{
    CHECK(expect_wait_s(make_demand(400, 0, 0), {20 * cores, 1000, 0}) ==
          doctest::Approx(0.6));
}

// Guards against a shard without targets that attracts all jobs.
TEST_CASE("expected wait: no capacity of a resource that the job asks for: "
          "longer than behind a queue")
{
    resources const    job{20 * cores, 1000, 0};
    shard_demand const empty{};
    CHECK(expect_wait_s(empty, job) > expect_wait_s(make_demand(3000), job));
    CHECK(expect_wait_s(make_demand(0), {1 * cores, 100, 1}) >=
          expect_wait_s(empty, job));
    CHECK(expect_wait_s(empty, {0, 0, 0}) == 0);
}

// Guards against jobs that avoid a shard for a queue that they don't join.
TEST_CASE("expected wait: accelerators are scarce, job asks for none: none")
{
    shard_demand const shard{.capacity_ = {400 * cores, 400'000, 8},
                             .wanted_ = {10 * cores, 1000, 40},
                             .freed_ = {100 * cores, 500, 1}};
    CHECK(expect_wait_s(shard, {20 * cores, 1000, 0}) == 0);
    CHECK(expect_wait_s(shard, {20 * cores, 1000, 1}) > 0);
}

TEST_CASE("first demand: steps with predecessors: left out")
{
    staged_job const job{
        .id_ = job_id("a"),
        .steps_ = {{.count_ = 3, .demand_ = {100, 10, 0}},
                   {.count_ = 5, .demand_ = {100, 10, 0}, .after_ = {0}}}};
    CHECK(sum_first_demand(job) == resources(300, 30, 0));
}

TEST_CASE_FIXTURE(moving_demand_fixture,
                  "routing by wait: demand swings by half in 17 s and moves "
                  "between domains: followed, with few jobs moved")
{
    play(68, route_by_wait);
    MESSAGE("jobs ", jobs_, ", moved ", moved_, ", longest wait s ",
            longest_wait_s());
    CHECK(longest_wait_s() < 1);
    // A swing of half above the mean of 80% asks for at most a fifth more than
    // a domain has, in a part of the time.
    CHECK(moved_ < jobs_ / 4);
}

TEST_CASE_FIXTURE(moving_demand_fixture,
                  "routing by wait: all domains have room: no job leaves its "
                  "own")
{
    mean_jobs_a_second_ = 5; // 75% of the room at the peak of a swing
    play(34, route_by_wait);
    CHECK(moved_ == 0);
}

// One host with a shard of one target that runs a task of 1000 ms.
struct sent_work_fixture : cell_fixture
{
    shard_id const shard_{domain_id("east"), 0};

    void run_task(bool by_wait)
    {
        settings_.route_by_wait_ = by_wait;
        start(2);
        serve();
        submit("aa01");
        run(100'000);
        for (send_start const& started : take<send_start>())
        {
            post(order_reply{.request_ = started.request_,
                             .outcome_ = target_outcome::done});
        }
        tick();
    }

    void answer(job_outcome outcome)
    {
        call_row& call = node_->calls_.ensure(99);
        call = {.kind_ = call_kind::submit,
                .id_ = job_id("bb01"),
                .deadline_ = now_.after(micros_per_second),
                .shard_ = shard_};
        node_->sent_work_ = {
            {shard_, call.id_, {1000, 512, 0}, now_.after(120'000)}};
        apply_answer(*node_, 99, {.outcome_ = outcome});
    }
};

// Guards against a job that an owner may have and that nobody counts until its
// next heartbeat.
TEST_CASE_FIXTURE(sent_work_fixture,
                  "sent work: attempt uncertain: counted on, refused: not")
{
    run_task(true);
    answer(job_outcome::uncertain);
    CHECK(node_->sent_work_.size() == 1);
    answer(job_outcome::unavailable);
    CHECK(node_->sent_work_.empty());
}

TEST_CASE_FIXTURE(
    sent_work_fixture,
    "heartbeat: task runs, routing by wait: reports what it frees")
{
    run_task(true);
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    plan::load_summary const load = make_heartbeat(*node_).shards_[0].load_;
    CHECK(load.used_ == resources(1000, 512, 0));
    CHECK_FALSE(load.freed_a_second_.is_zero());
}

// Guards against a visit of all runs for a figure that isn't used.
TEST_CASE_FIXTURE(sent_work_fixture,
                  "heartbeat: task runs, routing by load: nothing as freed")
{
    run_task(false);
    REQUIRE(make_heartbeat(*node_).shards_.size() == 1);
    plan::load_summary const load = make_heartbeat(*node_).shards_[0].load_;
    CHECK(load.used_ == resources(1000, 512, 0));
    CHECK(load.freed_a_second_.is_zero());
}

} // namespace fescuevane::cell

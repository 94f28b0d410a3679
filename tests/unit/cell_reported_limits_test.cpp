// Purpose: tests of limits that other hosts report to one without the store.
#include "cell_pair_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace fescuevane::cell
{
namespace
{

// Four tasks wait in east, whose part of the limit allows two.
struct reported_limits_fixture : cell_pair_fixture
{
    static constexpr std::uint64_t version = 2; // in force
    resources const                limit_{4000, 0, 0};
    resources const                lowered_{1000, 0, 0};
    std::uint64_t                  last_end_ = 0;

    reported_limits_fixture()
    {
        west_.used_ = {4000, 0, 0}; // so that jobs stay in east
        configure(version, limit_);
        for (int job = 0; job < 4; ++job)
        {
            submit("aa0" + std::to_string(job));
        }
        run_cell(500'000);
        REQUIRE(running_.size() == 2);
    }

    void configure(std::uint64_t number, resources const& limit)
    {
        auto config = std::make_shared<cell_config>(*make_config());
        config->version_ = number;
        config->organisations_[0].share_.limit_ = limit;
        post(config_changed{config});
    }

    void lose_store()
    {
        store_down_ = true;
        run_cell(500'000);
    }

    void report_limit(std::uint64_t number, resources const& limit)
    {
        post(heartbeat_received{
            {.host_ = host_id("host-2"),
             .incarnation_ = 5,
             .config_version_ = number,
             .limits_ = {{organisation_id("cafe"), limit}}}});
        run_cell(300'000);
    }

    // Tasks that run at once after those of now have ended.
    std::size_t count_next_runs()
    {
        for (reported_run const& run : running_)
        {
            ends_.push_back({++last_end_, run.run_, run_end::done, ""});
        }
        running_.clear();
        run_cell(500'000);
        return running_.size();
    }

    // The limits in the latest heartbeat to the other host.
    std::map<organisation_id, resources>
    list_sent_limits(std::uint64_t known_version, bool store_ok)
    {
        post(heartbeat_received{{.host_ = host_id("host-2"),
                                 .incarnation_ = 5,
                                 .store_ok_ = store_ok,
                                 .config_version_ = known_version}});
        tick();
        take<send_heartbeat>();
        run(settings_.heartbeat_micros_ + 10'000);
        auto const beats = take<send_heartbeat>();
        REQUIRE(!beats.empty());
        return beats.back().beat_.limits_;
    }
};

// Guards against starts above a limit that was lowered while the owner of a
// shard couldn't read the store.
TEST_CASE_FIXTURE(reported_limits_fixture,
                  "store lost, other host reports a lower limit, is kept")
{
    lose_store();
    report_limit(9, lowered_);
    CHECK(count_next_runs() == 0);
}

// Guards against work that stands still without the store.
TEST_CASE_FIXTURE(reported_limits_fixture,
                  "store lost, nothing newer reported, work goes on")
{
    lose_store();
    SUBCASE("no report") {}
    SUBCASE("report of an earlier version")
    {
        report_limit(1, lowered_);
    }
    SUBCASE("report of a higher limit")
    {
        report_limit(9, {40'000, 0, 0});
    }
    CHECK(count_next_runs() == 2);
}

// Guards against a reported limit that outlives its version.
TEST_CASE_FIXTURE(reported_limits_fixture,
                  "lower limit reported, later configuration read, replaced")
{
    lose_store();
    report_limit(9, lowered_);
    configure(9, limit_);
    CHECK(count_next_runs() == 2);
}

// Guards against limits in all heartbeats, whose bytes are paid for.
TEST_CASE_FIXTURE(reported_limits_fixture,
                  "other host behind and without the store, gets the limits")
{
    CHECK(list_sent_limits(1, false).at(organisation_id("cafe")) == limit_);
    CHECK(list_sent_limits(1, true).empty());
    CHECK(list_sent_limits(version, false).empty());
}

} // namespace
} // namespace fescuevane::cell

// Purpose: tests of run times that are shared between hosts and kept in the
// store.
#include "cell_cluster_fixture.hpp"

#include "cell/node.hpp"
#include "plan/run_times.hpp"

#include <doctest/doctest.h>
#include <limits>

namespace fescuevane::cell
{
namespace
{

// Two hosts, each owns one shard. Tasks run 400 ms and declare 1,000 ms.
struct run_times_fixture : cell_cluster_fixture
{
    row_key const stored_1_{"run_time", "0", "east.0"};
    row_key const stored_2_{"run_time", "0", "east.1"};
    int           jobs_ = 0;

    run_times_fixture()
    {
        defaults_.plan_.run_time_model_ = plan::run_time_model::shared;
        add_host("h-1");
        add_host("h-2");
        list_two_racks();
        run(8 * micros_per_second);
        REQUIRE(list_served("h-1").size() == 1);
        REQUIRE(list_served("h-2").size() == 1);
    }

    order_reply answer_start(send_start const& start) override
    {
        started_[start.start_.run_] = unix_ms_;
        running_[start.start_.target_].push_back({start.start_.run_, "", 0, 0});
        return {.request_ = start.request_, .outcome_ = target_outcome::done};
    }

    // One task after another, submitted to both hosts in turn.
    void run_jobs(int jobs)
    {
        for (int job = 0; job < jobs; ++job)
        {
            submit(job % 2 == 0 ? "h-1" : "h-2",
                   "j-" + std::to_string(++jobs_));
            for (int step = 0; step < 6; ++step)
            {
                run(100'000);
                end_runs(400);
            }
        }
    }

    // Samples behind what a host learnt of its own shards.
    double count_learnt(std::string const& name)
    {
        double samples = 0;
        for (owned_row const& own : find(name).node_->owned_)
        {
            for (plan::run_time_row const& row :
                 plan::list_run_times(*own.planner_))
            {
                samples += row.sums_.weight_;
            }
        }
        return samples;
    }

    // Samples that a host has heard of from others.
    double count_heard(std::string const& name)
    {
        double samples = 0;
        for (heard_run_times_row const& heard :
             find(name).node_->heard_run_times_)
        {
            for (auto const& [key, row] : heard.rows_)
            {
                samples += row.sums_.weight_;
            }
        }
        return samples;
    }

    double count_stored()
    {
        double samples = 0;
        for (row_key const& key : {stored_1_, stored_2_})
        {
            REQUIRE(rows_.contains(key));
            for (plan::run_time_row const& row :
                 read_run_times(rows_.at(key).value_))
            {
                samples += row.sums_.weight_;
            }
        }
        return samples;
    }

    // What hosts keep of the run times of their own shards.
    std::vector<run_time_ledger*> list_ledgers()
    {
        std::vector<run_time_ledger*> ledgers;
        for (char const* const name : {"h-1", "h-2"})
        {
            for (owned_row& own : find(name).node_->owned_)
            {
                ledgers.push_back(&own.run_times_);
            }
        }
        return ledgers;
    }
};

// Guards against a shard that learns only from its own runs.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, two owners, each hears of the other's samples")
{
    run_jobs(10);
    run(3 * micros_per_second);
    REQUIRE(count_learnt("h-1") + count_learnt("h-2") ==
            doctest::Approx(10).epsilon(0.1));
    CHECK(count_heard("h-1") == doctest::Approx(count_learnt("h-2")));
    CHECK(count_heard("h-2") == doctest::Approx(count_learnt("h-1")));
}

// Guards against a change of owner that forgets what was learnt.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, owner is lost, the next one knows its samples")
{
    run_jobs(10);
    run(3 * micros_per_second);
    double const before = count_learnt("h-1") + count_learnt("h-2");
    kill("h-2");
    run(10 * micros_per_second);
    REQUIRE(list_served("h-1").size() == 2);
    CHECK(count_learnt("h-1") == doctest::Approx(before));
}

// Guards against a restart of all hosts that forgets what was learnt.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, all hosts restart, the rows are read again")
{
    run_jobs(10);
    run(11 * micros_per_second);
    double const before = count_learnt("h-1") + count_learnt("h-2");
    kill("h-1");
    kill("h-2");
    start("h-1");
    start("h-2");
    run(15 * micros_per_second);
    REQUIRE(list_served("h-1").size() + list_served("h-2").size() == 2);
    CHECK(count_learnt("h-1") + count_learnt("h-2") ==
          doctest::Approx(before).epsilon(0.001));
}

// Guards against a hand-over that loses the samples since the latest write.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, both hosts stop, the latest samples are stored")
{
    run_jobs(10);
    double const before = count_learnt("h-1") + count_learnt("h-2");
    post_all(stop_requested{now_.after(5 * micros_per_second)});
    run(8 * micros_per_second);
    CHECK(count_stored() == doctest::Approx(before).epsilon(0.001));
}

// Guards against a release that was taken back once, after which the samples
// since the latest write are lost at the next one.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, earlier release was taken back, the latest "
                  "samples are stored at a stop")
{
    run_jobs(10);
    double const before = count_learnt("h-1") + count_learnt("h-2");
    for (run_time_ledger* const ledger : list_ledgers())
    {
        ledger->last_written_ = true;
        ledger->write_at_ = now_.after(60 * micros_per_second);
    }
    run(200'000);
    post_all(stop_requested{now_.after(5 * micros_per_second)});
    run(8 * micros_per_second);
    CHECK(count_stored() == doctest::Approx(before).epsilon(0.001));
}

// Guards against a takeover that fails because of a row which only improves
// estimates.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, malformed rows, the shards are served and the "
                  "rows written again")
{
    for (row_key const& key : {stored_1_, stored_2_})
    {
        rows_[key] = {key, R"({"rows":[{"sums":"x"}]})", ++revision_};
    }
    kill("h-1");
    kill("h-2");
    start("h-1");
    start("h-2");
    run(15 * micros_per_second);
    REQUIRE(list_served("h-1").size() + list_served("h-2").size() == 2);
    run_jobs(10);
    run(11 * micros_per_second);
    CHECK_NOTHROW(read_run_times(rows_.at(stored_1_).value_));
    CHECK_NOTHROW(read_run_times(rows_.at(stored_2_).value_));
}

// Guards against a late or repeated report that counts twice, and against a
// peer whose nonsense is kept.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, reports are repeated, late or absurd, only the "
                  "newest good one counts")
{
    shard_id const     other{domain_id("east"),
                         *list_served("h-2").begin() == "east.0" ? 0U : 1U};
    plan::run_time_row row{
        .key_ = {organisation_id("cafe"), queue_id("orders"), "orders"},
        .sums_ = {5, 35, 35, 245, 245, 245},
        .learnt_unix_ms_ = unix_ms_};
    node& host = *find("h-1").node_;
    apply_run_times(host, {.shard_ = other, .run_times_ = {row}});
    apply_run_times(host, {.shard_ = other, .run_times_ = {row}});
    plan::run_time_row late = row;
    late.learnt_unix_ms_ -= 1000;
    late.sums_ = row.sums_ * 0.5;
    apply_run_times(host, {.shard_ = other, .run_times_ = {late}});
    CHECK(count_heard("h-1") == 5);
    row.learnt_unix_ms_ += 1000;
    row.sums_.y_ = std::numeric_limits<double>::quiet_NaN();
    apply_run_times(host, {.shard_ = other, .run_times_ = {row}});
    CHECK(count_heard("h-1") == 5);
    CHECK(host.heard_run_times_.find(other)->dropped_ == 1);
}

// Guards against a hand-over that waits for a row which only improves
// estimates: another writer changed the row, so the write is refused.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, last write is refused, the shards are released")
{
    run_jobs(10);
    for (row_key const& key : {stored_1_, stored_2_})
    {
        rows_[key] = {key, R"({"rows":[]})", ++revision_};
    }
    post_all(stop_requested{now_.after(5 * micros_per_second)});
    run(8 * micros_per_second);
    CHECK(stored_owner("east.0").released_);
    CHECK(stored_owner("east.1").released_);
}

// Guards against a hand-over that ends with the process instead, because the
// store doesn't answer the write of a row which only improves estimates.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, last write isn't answered, the shards are "
                  "released before the deadline")
{
    run_jobs(10);
    for (run_time_ledger* const ledger : list_ledgers())
    {
        ledger->request_ = std::numeric_limits<std::uint64_t>::max();
    }
    post_all(stop_requested{now_.after(5 * micros_per_second)});
    run(4'900'000);
    CHECK(stored_owner("east.0").released_);
    CHECK(stored_owner("east.1").released_);
}

// Guards against a shard whose new images are refused for ever, once as many
// keys as it may keep have been heard of.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, rows of a shard are full, a new key replaces the "
                  "oldest")
{
    shard_id const     other{domain_id("east"),
                         *list_served("h-2").begin() == "east.0" ? 0U : 1U};
    node&              host = *find("h-1").node_;
    plan::run_time_row row{
        .key_ = {organisation_id("cafe"), queue_id("orders"), ""},
        .sums_ = {5, 35, 35, 245, 245, 245}};
    auto const report = [&](std::size_t image, std::int64_t age_ms)
    {
        row.key_.image_ = "image-" + std::to_string(image);
        row.learnt_unix_ms_ = unix_ms_ - age_ms;
        apply_run_times(host, {.shard_ = other, .run_times_ = {row}});
        return host.heard_run_times_.find(other)->rows_.contains(row.key_);
    };
    for (std::size_t image = 0; image < plan::max_run_time_rows; ++image)
    {
        REQUIRE(report(image, image == 7 ? 5000 : 1000));
    }
    heard_run_times_row const& heard = *host.heard_run_times_.find(other);
    CHECK_FALSE(report(1000, 6000));        // older than all others
    CHECK_FALSE(report(1001, -86'400'000)); // not plausible
    CHECK(report(1002, 0));
    CHECK(heard.rows_.size() == plan::max_run_time_rows);
    row.key_.image_ = "image-7";
    CHECK_FALSE(heard.rows_.contains(row.key_));
}

} // namespace
} // namespace fescuevane::cell

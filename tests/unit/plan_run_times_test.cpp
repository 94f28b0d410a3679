// Purpose: tests of the model of run times.
#include "plan_fixture.hpp"

#include "plan/run_times.hpp"

#include <doctest/doctest.h>
#include <cmath>
#include <limits>
#include <random>

namespace fescuevane::plan
{
namespace
{

struct run_times_fixture
{
    run_times          model_;
    run_time_key const key_{organisation_id("acme"), queue_id("checks"),
                            "lint"};
    std::int64_t       unix_ms_ = 1'000'000'000;
    std::mt19937       random_{1};

    // Run time around the median, with the spread of the loads of issue 52.
    double draw_ms(double median_ms)
    {
        return median_ms *
               std::exp(std::normal_distribution<double>(0, 0.5)(random_));
    }

    void learn(double declared_ms, double ran_ms)
    {
        learn_run_time(model_, {key_, declared_ms, ran_ms}, unix_ms_);
        merge_run_times(model_, {}, unix_ms_);
    }

    void learn_many(int samples, double declared_ms, double median_ms)
    {
        for (int sample = 0; sample < samples; ++sample)
        {
            learn(declared_ms, draw_ms(median_ms));
        }
    }

    run_time_estimate estimate(double declared_ms = 1000) const
    {
        return estimate_run_time(model_, key_, declared_ms);
    }
};

// Guards against estimates of zero or without a spread for a new image.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, no samples, estimate is the declared run time")
{
    CHECK(estimate().median_ms_ == doctest::Approx(1000));
    CHECK(estimate().high_ms_ > 1500);
    CHECK(estimate().samples_ == 0);
}

// Load: declared estimates off by up to 2.2 times. Guards against ordering by
// declarations that are wrong for a whole image.
TEST_CASE_FIXTURE(run_times_fixture, "run times, declared 2.2 times too short, "
                                     "median and spread are learnt")
{
    learn_many(200, 1000, 2200);
    CHECK(estimate().median_ms_ == doctest::Approx(2200).epsilon(0.15));
    CHECK(estimate().high_ms_ == doctest::Approx(2200 * 2.28).epsilon(0.3));
}

// Guards against estimates that follow declarations without any correlation to
// the run time.
TEST_CASE_FIXTURE(run_times_fixture, "run times, declarations tell nothing, "
                                     "estimate near the mean")
{
    for (int sample = 0; sample < 200; ++sample)
    {
        learn(100 * std::pow(10, sample % 3), 1000);
    }
    CHECK(estimate(100).median_ms_ == doctest::Approx(1000).epsilon(0.2));
    CHECK(estimate(10000).median_ms_ == doctest::Approx(1000).epsilon(0.2));
}

// Load: 3 of 100 tasks run 7 times as long. Guards against a few of them
// widening the spread by which stragglers are told.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, long tail, median and quantile leave it out")
{
    for (int sample = 0; sample < 300; ++sample)
    {
        learn(1000, draw_ms(sample % 33 == 32 ? 7000 : 1000));
    }
    CHECK(estimate().median_ms_ == doctest::Approx(1000).epsilon(0.15));
    CHECK(estimate().high_ms_ < 2800);
    CHECK(model_.merged_.find(key_)->tail_weight_ > 0);
}

// Guards against a model that takes all runs of a changed image for outliers.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, image becomes 10 times slower, estimate follows")
{
    learn_many(100, 1000, 1000);
    learn_many(100, 1000, 10000);
    CHECK(estimate().median_ms_ > 5000);
}

// Load: burst of a new image, whose shortest tasks end first. Guards against
// the mean of the ended ones, which is too low while the burst lasts.
TEST_CASE_FIXTURE(run_times_fixture, "run times, burst is half over, running "
                                     "tasks raise the estimate")
{
    std::vector<run_time_sample> running;
    for (int task = 0; task < 40; ++task)
    {
        double const ran_ms = draw_ms(3000);
        if (ran_ms < 3000)
        {
            learn(1000, ran_ms);
        }
        else
        {
            running.push_back({key_, 1000, 3000});
        }
    }
    double const ended_only_ms = estimate().median_ms_;
    for (int pass = 0; pass < 20; ++pass)
    {
        merge_run_times(model_, running, unix_ms_);
    }
    CHECK(ended_only_ms < 2300);
    CHECK(estimate().median_ms_ == doctest::Approx(3000).epsilon(0.25));
}

// Guards against a narrow key with few samples that hides what is known of its
// image.
TEST_CASE_FIXTURE(run_times_fixture, "run times, new organisation, estimate "
                                     "comes from the image")
{
    learn_many(50, 1000, 2000);
    run_time_key const other{organisation_id("other"), key_.queue_,
                             key_.image_};
    CHECK(estimate_run_time(model_, other, 1000).median_ms_ ==
          doctest::Approx(estimate().median_ms_).epsilon(0.01));
}

// Guards against the noise of a narrow key that replaces what its image tells,
// and against an image that hides how an organisation differs.
TEST_CASE_FIXTURE(run_times_fixture, "run times, organisation differs from its "
                                     "image, estimate moves with its samples")
{
    run_time_key const other{organisation_id("other"), key_.queue_,
                             key_.image_};
    learn_many(100, 1000, 1000);
    double previous_ms = estimate_run_time(model_, other, 1000).median_ms_;
    for (int const samples : {5, 20, 100})
    {
        for (int sample = 0; sample < samples; ++sample)
        {
            learn_run_time(model_, {other, 1000, 3000}, unix_ms_);
            merge_run_times(model_, {}, unix_ms_);
        }
        double const ms = estimate_run_time(model_, other, 1000).median_ms_;
        CHECK(ms > previous_ms * 1.05);
        previous_ms = ms;
    }
    CHECK(previous_ms > 1500);
    CHECK(estimate().median_ms_ < 1500);
}

// Guards against double counting where the narrow key is a wide one.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, open queue, a sample counts once")
{
    run_time_key const open{{}, key_.queue_, key_.image_};
    learn_run_time(model_, {open, 1000, 2000}, unix_ms_);
    merge_run_times(model_, {}, unix_ms_);
    CHECK(estimate_run_time(model_, open, 1000).samples_ == doctest::Approx(1));
}

// Guards against contributions of shards that count for more or less than
// their samples.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, two shards, merge equals the sum")
{
    learn_many(30, 1000, 2000);
    run_time_row const row = list_own_run_times(model_).front();
    double const       samples = estimate().samples_;
    model_.others_ = {row};
    merge_run_times(model_, {}, unix_ms_);
    CHECK(estimate().samples_ == doctest::Approx(2 * samples));
    merge_run_times(model_, {}, unix_ms_); // repeated
    CHECK(estimate().samples_ == doctest::Approx(2 * samples));
}

// Guards against a host that returns after days with old figures.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, other shard's row is days old, it has no weight")
{
    learn_many(30, 1000, 2000);
    run_time_row const old = list_own_run_times(model_).front();
    model_.own_.clear();
    unix_ms_ += 2 * 86'400'000;
    model_.others_ = {old};
    merge_run_times(model_, {}, unix_ms_);
    CHECK(estimate().samples_ == 0);
    learn(1000, 500);
    CHECK(estimate().median_ms_ < 1000);
}

// Guards against a peer whose nonsense reaches the estimates.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, nonsense of a peer, row is not plausible")
{
    learn_many(30, 1000, 2000);
    run_time_row const good = list_own_run_times(model_).front();
    CHECK(is_plausible(good, unix_ms_));
    constexpr double nan = std::numeric_limits<double>::quiet_NaN();
    for (double const value :
         {nan, std::numeric_limits<double>::infinity(), -1.0, 1e12})
    {
        for (double run_time_sums::*const member :
             {&run_time_sums::weight_, &run_time_sums::x_, &run_time_sums::y_,
              &run_time_sums::xx_, &run_time_sums::yy_,
              &run_time_sums::tail_weight_, &run_time_sums::tail_excess_})
        {
            run_time_row bad = good;
            bad.sums_.*member = value;
            CHECK_FALSE(is_plausible(bad, unix_ms_));
        }
    }
    run_time_row bad = good;
    bad.sums_.xy_ = nan;
    CHECK_FALSE(is_plausible(bad, unix_ms_));
    bad = good;
    bad.learnt_unix_ms_ = unix_ms_ + 86'400'000;
    CHECK_FALSE(is_plausible(bad, unix_ms_));
    bad = good;
    bad.key_.image_ = std::string(100'000, 'x');
    CHECK_FALSE(is_plausible(bad, unix_ms_));
}

// Guards against dropped reports of good peers, which have single precision: at
// one sample the sums are on the bounds of what is consistent.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, reported in single precision, row is plausible")
{
    for (int sample = 0; sample < 100; ++sample)
    {
        learn(10 + 37 * sample, 10 + 91 * sample);
        run_time_row row = list_own_run_times(model_).front();
        for (double run_time_sums::*const member :
             {&run_time_sums::weight_, &run_time_sums::x_, &run_time_sums::y_,
              &run_time_sums::xx_, &run_time_sums::xy_, &run_time_sums::yy_})
        {
            row.sums_.*member = static_cast<float>(row.sums_.*member);
        }
        CHECK(is_plausible(row, unix_ms_));
    }
}

// Guards against a caller who names a new image in each job.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, many images, the table stays bounded")
{
    learn_many(30, 1000, 2000);
    for (int image = 0; image < 1000; ++image)
    {
        learn_run_time(
            model_,
            {{key_.organisation_, key_.queue_, std::to_string(image)},
             1000,
             1000},
            unix_ms_);
    }
    CHECK(model_.own_.size() == max_run_time_rows);
    CHECK(model_.own_.contains(key_));
}

// Guards against a late row of an earlier owner that replaces a newer one.
TEST_CASE_FIXTURE(run_times_fixture,
                  "run times, older row restored, newer one stays")
{
    learn_many(10, 1000, 2000);
    run_time_row const old = list_own_run_times(model_).front();
    unix_ms_ += 1000;
    learn(1000, 2000);
    run_time_row const newer = list_own_run_times(model_).front();
    restore_run_times(model_, {old}, unix_ms_);
    CHECK(list_own_run_times(model_).front() == newer);
}

// One task of a kind of which other shards know many runs of 2,000 ms each; it
// declares 1,000 ms.
struct shared_estimate_fixture : plan_fixture
{
    start_run run_;

    shared_estimate_fixture()
        : plan_fixture({.run_time_model_ = run_time_model::shared})
        , run_(start_task())
    {
    }

    start_run start_task()
    {
        set_target("t-1", {1000, 8192, 0});
        set_target("t-2", {1000, 8192, 0});
        run_times known;
        for (int sample = 0; sample < 60; ++sample)
        {
            learn_run_time(
                known,
                {{organisation_id("cafe"), queue_id("orders"), "orders"},
                 1000,
                 2000},
                unix_ms_);
        }
        post(run_times_shared{list_own_run_times(known)});
        add_job("j-1", {{.demand_ = {1000, 512, 0},
                         .estimate_ms_ = 1000,
                         .speculative_ = true}});
        tick();
        auto const starts = list<start_run>();
        REQUIRE(starts.size() == 1);
        confirm_starts();
        tick();
        return starts.front();
    }

    // Lets the task run with progress reports until `ran_ms`, at a pace of
    // `whole_ms` for all of it. True when a copy was started.
    bool run_until(std::int64_t ran_ms, std::int64_t whole_ms)
    {
        bool copied = false;
        for (std::int64_t passed = 0; passed < ran_ms; passed += 100)
        {
            advance(100'000);
            post(run_seen{run_.run_, run_.target_, "",
                          static_cast<std::int32_t>(passed * 100 / whole_ms),
                          0});
            tick();
            copied = copied || !list<start_run>().empty();
        }
        return copied;
    }
};

// Guards against a copy of a task that runs as long as its kind does, because
// its declared run time is too short.
TEST_CASE_FIXTURE(shared_estimate_fixture,
                  "run times, task within the high quantile, no copy")
{
    CHECK_FALSE(run_until(2000, 2100));
}

// Guards against a straggler without siblings that never gets a copy.
TEST_CASE_FIXTURE(shared_estimate_fixture,
                  "run times, task beyond the high quantile, a copy starts")
{
    CHECK(run_until(5000, 6000));
}

// Ten tasks of a new image, whose declared run time is a tenth of the real one.
// A copy or a stop would find room on another target.
struct new_image_fixture : plan_fixture
{
    static constexpr std::int64_t real_ms = 50'000;

    std::vector<start_run> runs_;

    new_image_fixture()
        : plan_fixture({.run_time_model_ = run_time_model::shared})
    {
        set_target("t-1", {10'000, 8192, 0});
        set_target("t-2", {10'000, 8192, 0});
        add_job("j-1", {{.count_ = 10,
                         .demand_ = {1000, 512, 0},
                         .estimate_ms_ = real_ms / 10,
                         .speculative_ = true}});
        tick();
        runs_ = list<start_run>();
        REQUIRE(runs_.size() == 10);
        confirm_starts();
        tick();
    }

    // Lets all tasks run with progress reports until just before their ends.
    void check_no_stop_and_no_copy()
    {
        std::size_t stops = 0;
        std::size_t copies = 0;
        for (std::int64_t passed = 0; passed < real_ms; passed += 100)
        {
            advance(100'000);
            for (start_run const& run : runs_)
            {
                post(run_seen{run.run_, run.target_, "",
                              static_cast<std::int32_t>(passed * 100 / real_ms),
                              0});
            }
            tick();
            stops += list<stop_run>().size();
            copies += list<start_run>().size();
        }
        CHECK(stops == 0);
        CHECK(copies == 0);
    }
};

// Guards against running tasks that count as proof of how long tasks of their
// image run.
TEST_CASE_FIXTURE(new_image_fixture, "run times, new image declared too short, "
                                     "no stop and no copy")
{
    check_no_stop_and_no_copy();
}

// Guards against runs of other images that count as such a proof.
TEST_CASE_FIXTURE(new_image_fixture,
                  "run times, new image, its queue knows shorter ones, no stop "
                  "and no copy")
{
    run_times known;
    for (int sample = 0; sample < 60; ++sample)
    {
        learn_run_time(
            known,
            {{organisation_id("cafe"), queue_id("orders"), "short"}, 1000, 500},
            unix_ms_);
    }
    post(run_times_shared{list_own_run_times(known)});
    check_no_stop_and_no_copy();
}

} // namespace
} // namespace fescuevane::plan

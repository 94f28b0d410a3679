// Purpose: tests of metrics.
#include "entry/metrics.hpp"

#include <doctest/doctest.h>
#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace fescuevane::entry
{
namespace
{

// Latencies with a long tail, as those of calls: log-normal, median 2 ms.
struct metrics_fixture
{
    call_metrics        metrics_;
    std::vector<double> samples_; // seconds

    void observe_many(std::size_t count, unsigned seed)
    {
        std::mt19937_64                     generator(seed);
        std::lognormal_distribution<double> latency(std::log(2000.0), 1.0);
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const micros = static_cast<std::int64_t>(latency(generator));
            metrics_.observe(call_kind::submit, micros);
            samples_.push_back(static_cast<double>(micros) / 1e6);
        }
        std::sort(samples_.begin(), samples_.end());
    }

    double exact(double quantile) const
    {
        return samples_[static_cast<std::size_t>(
            quantile * static_cast<double>(samples_.size() - 1))];
    }
};

// Guards against estimates that mislead whoever reads the waiting times.
TEST_CASE_FIXTURE(metrics_fixture,
                  "latency, 20000 samples, is within 5% of exact quantiles")
{
    for (unsigned const seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U})
    {
        metrics_fixture run;
        run.observe_many(20'000, seed);
        for (std::size_t i = 0; i < latency_quantiles.size(); ++i)
        {
            double const exact = run.exact(latency_quantiles[i]);
            double const error =
                run.metrics_.quantile(call_kind::submit, i) / exact - 1;
            CAPTURE(seed);
            CAPTURE(latency_quantiles[i]);
            CHECK(std::abs(error) < 0.05);
        }
    }
}

// Guards against quantiles that are read from too few samples.
TEST_CASE_FIXTURE(metrics_fixture, "latency, few samples, is not a number")
{
    observe_many(24, 1);
    CHECK(std::isnan(metrics_.quantile(call_kind::submit, 0)));
    CHECK(metrics_.write().find("call_seconds{kind=\"submit\","
                                "quantile=\"0.5\"} NaN\n") !=
          std::string::npos);
}

// Guards against a counter that is missing or stands under another's name.
TEST_CASE_FIXTURE(metrics_fixture, "counters, distinct values, are all written")
{
    counter_values values{};
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        values[i] = 1000 + i;
    }
    std::string const text = write_counters(values);
    for (std::uint64_t const value : values)
    {
        CHECK(text.find(" " + std::to_string(value) + "\n") !=
              std::string::npos);
    }
    CHECK(text.find("# TYPE fescuevane_ticks_total counter\n"
                    "fescuevane_ticks_total 1017\n") != std::string::npos);
}

} // namespace
} // namespace fescuevane::entry

// Purpose: run times learnt from finished runs.
//
// Index of sections
//   1. Sums
//   2. Estimates
//   3. Samples
//   4. Merging
#include "plan/run_times.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace fescuevane::plan
{
namespace
{

// 1. Sums

// Decay of older samples with each new one of a row: a window of about 60
// samples for each shard.
constexpr double sample_decay = 0.984;
constexpr double max_weight = 1 / (1 - sample_decay) + 1;

// Half-life of rows, so that a host that returns after days doesn't outweigh
// newer samples.
constexpr double half_life_ms = 600'000;
constexpr double min_weight = 0.05; // rows below it are removed

constexpr double min_run_ms = 10;
constexpr double max_run_ms = 1e10; // 116 days

// Clocks of hosts may differ by this much.
constexpr std::int64_t max_clock_skew_ms = 60'000;

constexpr std::size_t max_name_bytes = 512;

double log_ms(double ms)
{
    return std::log(std::clamp(ms, min_run_ms, max_run_ms));
}

run_time_sums make_sums(double x, double y)
{
    return {.weight_ = 1,
            .x_ = x,
            .y_ = y,
            .xx_ = x * x,
            .xy_ = x * y,
            .yy_ = y * y};
}

double fade_factor(std::int64_t from_unix_ms, std::int64_t to_unix_ms)
{
    auto const age = static_cast<double>(to_unix_ms - from_unix_ms);
    return std::exp2(-std::max(0.0, age) / half_life_ms);
}

// 2. Estimates

// Weight of the declared run time in the offset between declared and real run
// times, in samples.
constexpr double prior_offset_samples = 1;

// Below this weight the slope and the spread mostly follow their priors.
constexpr double prior_samples = 8;
constexpr double prior_x_variance = 0.2; // keeps the slope defined
constexpr double prior_residual_variance = 0.3;

// Most weight that the samples of each wider key have beside those of the key.
// The mean of 20 samples with a spread of 0.5 is off by about a tenth.
constexpr double max_wider_samples = 20;

constexpr double high_deviations = 1.645; // 95th percentile

// Samples above this multiple of the estimate belong to the tail, unless there
// are so many that the estimate must be wrong.
constexpr double tail_factor = 4;
constexpr double min_tail_samples = 8; // fewer don't tell the spread
constexpr double max_tail_share = 0.2;

struct distribution
{
    double log_median_ = 0;
    double deviation_ = 0;
};

distribution predict(run_time_sums const& sums, double x)
{
    if (sums.weight_ <= 0)
    {
        return {x, std::sqrt(prior_residual_variance)};
    }
    double const weight = sums.weight_;
    double const mean_x = sums.x_ / weight;
    double const mean_y = sums.y_ / weight;
    double const variance_x =
        std::max(0.0, sums.xx_ / weight - mean_x * mean_x);
    double const variance_y =
        std::max(0.0, sums.yy_ / weight - mean_y * mean_y);
    double const covariance = sums.xy_ / weight - mean_x * mean_y;
    double const prior = prior_samples / (prior_samples + weight);
    double const slope = std::clamp((covariance + prior * prior_x_variance) /
                                        (variance_x + prior * prior_x_variance),
                                    0.0, 1.0);
    double const offset =
        (mean_y - mean_x) * weight / (weight + prior_offset_samples);
    double const residual = std::max(0.0, variance_y - 2 * slope * covariance +
                                              slope * slope * variance_x);
    double const spread =
        (1 - prior) * residual + prior * prior_residual_variance;
    return {mean_x + offset + slope * (x - mean_x), std::sqrt(spread)};
}

double tail_share(run_time_sums const& sums)
{
    double const all = sums.weight_ + sums.tail_weight_;
    return all > 0 ? sums.tail_weight_ / all : 0;
}

// From narrow to wide.
std::array<run_time_key, 3> list_keys(run_time_key const& key)
{
    return {key, run_time_key{{}, key.queue_, key.image_},
            run_time_key{{}, key.queue_, {}}};
}

// The sums of the key, and of the other keys within each wider one up to a
// weight, so that a key with few samples follows those.
run_time_sums find_sums(run_times const& context, run_time_key const& key)
{
    run_time_sums sums;
    run_time_sums narrower;
    for (run_time_key const& wider : list_keys(key))
    {
        if (run_time_sums const* const all = context.merged_.find(wider))
        {
            run_time_sums const others = *all + narrower * -1;
            bool const          most =
                narrower.weight_ == 0 || others.weight_ <= max_wider_samples;
            sums =
                sums + others * (most ? 1 : max_wider_samples / others.weight_);
            narrower = *all;
        }
    }
    return sums;
}

// 3. Samples

// The sums of one sample. Samples of the tail don't change the estimate of the
// others.
run_time_sums measure_sample(run_time_sums const& known, double x, double y)
{
    double const excess = y - predict(known, x).log_median_;
    bool const   tail = known.weight_ >= min_tail_samples &&
                      excess > std::log(tail_factor) &&
                      tail_share(known) < max_tail_share;
    return tail ? run_time_sums{.tail_weight_ = 1, .tail_excess_ = excess}
                : make_sums(x, y);
}

// The sums that are expected of a task that has run for `ran_ms`: ln(run time)
// has the mean and variance of a normal distribution above that value.
run_time_sums expect_sample(run_time_sums const& known, double x, double ran_ms)
{
    // Beyond this many deviations the quotient below loses its digits; the mean
    // is then close to the bound.
    constexpr double   max_deviations = 6;
    distribution const body = predict(known, x);
    double const       bound = log_ms(ran_ms);
    double const       z = (bound - body.log_median_) / body.deviation_;
    if (z > max_deviations)
    {
        return measure_sample(known, x, bound);
    }
    double const density =
        std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
    double const  above = std::erfc(z / std::numbers::sqrt2) / 2;
    double const  hazard = density / above;
    run_time_sums sums =
        measure_sample(known, x, body.log_median_ + body.deviation_ * hazard);
    sums.yy_ += sums.weight_ * body.deviation_ * body.deviation_ *
                std::max(0.0, 1 + z * hazard - hazard * hazard);
    return sums;
}

// The row with the least weight, which the next sample costs least.
void remove_least(table<run_time_key, run_time_row>& rows, std::int64_t unix_ms)
{
    std::size_t least = 0;
    double      least_weight = 0;
    for (std::size_t row = 0; row < rows.size(); ++row)
    {
        double const weight =
            (rows[row].sums_.weight_ + rows[row].sums_.tail_weight_) *
            fade_factor(rows[row].learnt_unix_ms_, unix_ms);
        if (row == 0 || weight < least_weight)
        {
            least = row;
            least_weight = weight;
        }
    }
    rows.remove(run_time_key(rows.key(least)));
}

} // namespace

void learn_run_time(run_times& context, run_time_sample const& sample,
                    std::int64_t unix_ms)
{
    if (!context.own_.contains(sample.key_) &&
        context.own_.size() >= max_run_time_rows)
    {
        remove_least(context.own_, unix_ms);
    }
    run_time_row&       row = context.own_.ensure(sample.key_);
    run_time_sums const known = find_sums(context, sample.key_);
    double const        fade =
        sample_decay * fade_factor(row.learnt_unix_ms_, unix_ms);
    row = {sample.key_,
           row.sums_ * fade + measure_sample(known, log_ms(sample.declared_ms_),
                                             log_ms(sample.ran_ms_)),
           unix_ms};
}

run_time_estimate estimate_run_time(run_times const&    context,
                                    run_time_key const& key, double declared_ms)
{
    run_time_sums const sums = find_sums(context, key);
    distribution const  body = predict(sums, log_ms(declared_ms));
    double const        median = std::exp(body.log_median_);
    double const* const ended = context.ended_.find(key);
    return {.median_ms_ = median,
            .high_ms_ = median * std::exp(high_deviations * body.deviation_),
            .samples_ = ended == nullptr ? 0 : *ended};
}

// 4. Merging

void merge_run_times(run_times&                          context,
                     std::vector<run_time_sample> const& running,
                     std::int64_t                        unix_ms)
{
    table<run_time_key, run_time_sums> merged;
    table<run_time_key, double>        ended;
    auto const                         add =
        [&merged](run_time_key const& key, run_time_sums const& more)
    {
        run_time_key const* previous = nullptr;
        auto const          keys = list_keys(key);
        for (run_time_key const& wider : keys)
        {
            // Work of open queues has no organisation.
            if (previous == nullptr || *previous != wider)
            {
                run_time_sums& sums = merged.ensure(wider);
                sums = sums + more;
            }
            previous = &wider;
        }
    };
    auto const add_row = [&](run_time_row const& row)
    {
        double const fade = fade_factor(row.learnt_unix_ms_, unix_ms);
        double const weight =
            (row.sums_.weight_ + row.sums_.tail_weight_) * fade;
        if (weight >= min_weight)
        {
            add(row.key_, row.sums_ * fade);
            ended.ensure(row.key_) += weight;
        }
    };
    std::for_each(context.own_.begin(), context.own_.end(), add_row);
    std::for_each(context.others_.begin(), context.others_.end(), add_row);
    for (run_time_sample const& sample : running)
    {
        add(sample.key_,
            expect_sample(find_sums(context, sample.key_),
                          log_ms(sample.declared_ms_), sample.ran_ms_));
    }
    context.merged_ = std::move(merged);
    context.ended_ = std::move(ended);
}

bool is_plausible(run_time_row const& row, std::int64_t unix_ms)
{
    run_time_sums const& sums = row.sums_;
    std::array const     values = {sums.weight_,      sums.x_,          sums.y_,
                                   sums.xx_,          sums.xy_,         sums.yy_,
                                   sums.tail_weight_, sums.tail_excess_};
    bool const           finite = std::all_of(values.begin(), values.end(),
                                              [](double value)
                                              {
                                        return std::isfinite(value);
                                    });
    if (!finite || sums.weight_ < 0 || sums.weight_ > max_weight ||
        sums.tail_weight_ < 0 || sums.tail_weight_ > max_weight ||
        row.key_.queue_.empty() || row.key_.image_.empty() ||
        row.key_.organisation_.str().size() > max_name_bytes ||
        row.key_.queue_.str().size() > max_name_bytes ||
        row.key_.image_.size() > max_name_bytes || row.learnt_unix_ms_ < 0 ||
        row.learnt_unix_ms_ > unix_ms + max_clock_skew_ms)
    {
        return false;
    }
    // Reports have single precision, so sums are compared with this relative
    // slack.
    constexpr double slack = 1e-5;
    double const     least = std::log(min_run_ms) * (1 - slack);
    double const     most = std::log(max_run_ms) * (1 + slack);
    auto const       is_mean = [&sums, least, most](double sum)
    {
        return sum >= least * sums.weight_ && sum <= most * sums.weight_;
    };
    auto const is_square = [&sums, most](double sum, double square)
    {
        return square * sums.weight_ >= sum * sum * (1 - slack) &&
               square <= most * most * sums.weight_;
    };
    return is_mean(sums.x_) && is_mean(sums.y_) &&
           is_square(sums.x_, sums.xx_) && is_square(sums.y_, sums.yy_) &&
           std::abs(sums.xy_) <= std::sqrt(sums.xx_ * sums.yy_) * (1 + slack) &&
           sums.tail_excess_ >= 0 &&
           sums.tail_excess_ <= most * sums.tail_weight_;
}

void restore_run_times(run_times&                       context,
                       std::vector<run_time_row> const& rows,
                       std::int64_t                     unix_ms)
{
    for (run_time_row const& row : rows)
    {
        run_time_row const* const known = context.own_.find(row.key_);
        bool const                newer =
            known == nullptr || known->learnt_unix_ms_ < row.learnt_unix_ms_;
        if (newer && is_plausible(row, unix_ms) &&
            (known != nullptr || context.own_.size() < max_run_time_rows))
        {
            context.own_.ensure(row.key_) = row;
        }
    }
}

std::vector<run_time_row> list_own_run_times(run_times const& context)
{
    return {context.own_.begin(), context.own_.end()};
}

} // namespace fescuevane::plan

// Purpose: prediction of run times from earlier runs.
#include "plan/image_row.hpp"

#include <algorithm>
#include <cmath>

namespace fescuevane::plan
{
namespace
{

// Decay of the weight of older samples with each new one; the effective window
// is about 60 samples.
constexpr double sample_decay = 0.984;

// Below this sum of weights the prediction mostly follows the declared
// estimate.
constexpr double prior_samples = 8;

// Prior variance of ln(declared), used until the samples provide one; keeps the
// slope defined.
constexpr double prior_variance = 0.2;

constexpr double min_run_ms = 10;

} // namespace

void learn_sample(image_row& row, double declared_ms, double ran_ms)
{
    double const x = std::log(std::max(min_run_ms, declared_ms));
    double const y = std::log(std::max(min_run_ms, ran_ms));
    row.samples_ = row.samples_ * sample_decay + 1;
    row.sum_x_ = row.sum_x_ * sample_decay + x;
    row.sum_y_ = row.sum_y_ * sample_decay + y;
    row.sum_xx_ = row.sum_xx_ * sample_decay + x * x;
    row.sum_xy_ = row.sum_xy_ * sample_decay + x * y;
}

double predict_ms(image_row const& row, double declared_ms)
{
    double const x = std::log(std::max(min_run_ms, declared_ms));
    if (row.samples_ < 1)
    {
        return std::exp(x);
    }
    double const mean_x = row.sum_x_ / row.samples_;
    double const mean_y = row.sum_y_ / row.samples_;
    double const variance =
        std::max(0.0, row.sum_xx_ / row.samples_ - mean_x * mean_x);
    double const covariance = row.sum_xy_ / row.samples_ - mean_x * mean_y;
    // With few samples the prior keeps the slope near 1, so that the declared
    // estimate dominates.
    double const prior_weight = prior_samples / (prior_samples + row.samples_);
    double const slope =
        std::clamp((covariance + prior_weight * prior_variance) /
                       (variance + prior_weight * prior_variance),
                   0.0, 1.0);
    return std::exp(mean_y + slope * (x - mean_x));
}

} // namespace fescuevane::plan

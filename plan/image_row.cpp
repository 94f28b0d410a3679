// Purpose: learnt run times.
#include "plan/image_row.hpp"

#include <algorithm>
#include <cmath>

namespace fescuevane::plan
{
namespace
{

// Weight of older samples at each new one: about 60 samples count.
constexpr double memory = 0.984;

// Below this sum of weights the declaration is taken as it is, mostly.
constexpr double enough_samples = 8;

// Variance of ln(declared) that is assumed before samples show it; keeps the
// slope defined.
constexpr double prior_variance = 0.2;

constexpr double least_ms = 10;

} // namespace

void learn_sample(image_row& row, double declared_ms, double ran_ms)
{
    double const x = std::log(std::max(least_ms, declared_ms));
    double const y = std::log(std::max(least_ms, ran_ms));
    row.samples_ = row.samples_ * memory + 1;
    row.sum_x_ = row.sum_x_ * memory + x;
    row.sum_y_ = row.sum_y_ * memory + y;
    row.sum_xx_ = row.sum_xx_ * memory + x * x;
    row.sum_xy_ = row.sum_xy_ * memory + x * y;
}

double predict_ms(image_row const& row, double declared_ms)
{
    double const x = std::log(std::max(least_ms, declared_ms));
    if (row.samples_ < 1)
    {
        return std::exp(x);
    }
    double const mean_x = row.sum_x_ / row.samples_;
    double const mean_y = row.sum_y_ / row.samples_;
    double const variance =
        std::max(0.0, row.sum_xx_ / row.samples_ - mean_x * mean_x);
    double const covariance = row.sum_xy_ / row.samples_ - mean_x * mean_y;
    // With few samples the slope is held near 1: the declaration counts.
    double const trust = enough_samples / (enough_samples + row.samples_);
    double const slope = std::clamp((covariance + trust * prior_variance) /
                                        (variance + trust * prior_variance),
                                    0.0, 1.0);
    return std::exp(mean_y + slope * (x - mean_x));
}

} // namespace fescuevane::plan

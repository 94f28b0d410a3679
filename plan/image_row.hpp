// Purpose: row of the run time model of an image.
#ifndef FESCUEVANE_PLAN_IMAGE_ROW_HPP
#define FESCUEVANE_PLAN_IMAGE_ROW_HPP

namespace fescuevane::plan
{

// Linear regression of the logarithm of the run time on that of the declared
// estimate, one for each image, or for each queue where steps name no image.
// The less the declaration correlates with the run time, the closer the
// prediction is to the mean. Sums are weighted, newer samples count more.
struct image_row
{
    double samples_ = 0; // sum of weights
    double sum_x_ = 0;   // of ln(declared)
    double sum_y_ = 0;   // of ln(run time)
    double sum_xx_ = 0;
    double sum_xy_ = 0;
};

void   learn_sample(image_row& row, double declared_ms, double ran_ms);
double predict_ms(image_row const& row, double declared_ms);

} // namespace fescuevane::plan

#endif

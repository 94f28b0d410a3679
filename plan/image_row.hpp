// Purpose: row of learnt run times of one image.
#ifndef FESCUEVANE_PLAN_IMAGE_ROW_HPP
#define FESCUEVANE_PLAN_IMAGE_ROW_HPP

namespace fescuevane::plan
{

// Declared estimates are off by a factor that is the same for all tasks of an
// image, so the factor is learnt.
struct image_row
{
    double factor_ = 1; // run time over declared estimate
    double samples_ = 0;
};

} // namespace fescuevane::plan

#endif

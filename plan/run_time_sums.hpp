// Purpose: sums over samples of run times.
#ifndef FESCUEVANE_PLAN_RUN_TIME_SUMS_HPP
#define FESCUEVANE_PLAN_RUN_TIME_SUMS_HPP

namespace fescuevane::plan
{

// Weighted sums of x = ln(declared ms) and y = ln(run time ms). Sums of
// different samples add up to the sums of all of them, so contributions of
// shards merge by addition.
struct run_time_sums
{
    double weight_ = 0;
    double x_ = 0;
    double y_ = 0;
    double xx_ = 0;
    double xy_ = 0;
    double yy_ = 0;
    double tail_weight_ = 0; // of samples far above the estimate, see run_times
    double tail_excess_ = 0; // of ln(run time / estimate) of these

    friend bool          operator==(run_time_sums const&,
                           run_time_sums const&) = default;
    friend run_time_sums operator+(run_time_sums const& a,
                                   run_time_sums const& b)
    {
        return {a.weight_ + b.weight_,
                a.x_ + b.x_,
                a.y_ + b.y_,
                a.xx_ + b.xx_,
                a.xy_ + b.xy_,
                a.yy_ + b.yy_,
                a.tail_weight_ + b.tail_weight_,
                a.tail_excess_ + b.tail_excess_};
    }
    friend run_time_sums operator*(run_time_sums const& sums, double factor)
    {
        return {sums.weight_ * factor,      sums.x_ * factor,
                sums.y_ * factor,           sums.xx_ * factor,
                sums.xy_ * factor,          sums.yy_ * factor,
                sums.tail_weight_ * factor, sums.tail_excess_ * factor};
    }
};

} // namespace fescuevane::plan

#endif

// Purpose: processor time and quantiles.
#include "bench/statistics.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <ctime>

namespace fescuevane::bench
{

double read_processor_micros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

double find_quantile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto const rank = static_cast<std::size_t>(
        std::ceil(part * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace fescuevane::bench

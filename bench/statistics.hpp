// Purpose: processor time and quantiles.
#ifndef FESCUEVANE_BENCH_STATISTICS_HPP
#define FESCUEVANE_BENCH_STATISTICS_HPP

#include <vector>

namespace fescuevane::bench
{

// Processor time of the calling thread in microseconds. Other work on the
// machine adds to it only through caches and clock speed.
double read_processor_micros();

// The value below which `part` (0 to 1) of the values lie; 0 without values.
double find_quantile(std::vector<double> values, double part);

} // namespace fescuevane::bench

#endif

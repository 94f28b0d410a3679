// Purpose: the table of measures.
#include "bench/measure.hpp"

namespace fescuevane::bench
{

std::span<measure const> list_measures()
{
    static constexpr measure measures[] = {
        {"decision", "processor time of ticks and placements",
         measure_decision},
        {"packing", "reserved capacity at saturation", measure_packing}};
    return measures;
}

} // namespace fescuevane::bench

// Purpose: the table of measures.
#include "bench/measure.hpp"

namespace fescuevane::bench
{

std::span<measure const> list_measures()
{
    static constexpr measure measures[] = {
        {"decision", "processor time of ticks and placements",
         measure_decision},
        {"packing", "reserved capacity at saturation", measure_packing},
        {"share", "shares of backlogged teams over a minute", measure_share},
        {"move", "work done while a failure domain goes out and returns",
         measure_move},
        {"overload", "goodput and waiting above capacity", measure_overload},
        {"planner", "processor time of a planner's ticks, by system",
         measure_planner},
        {"advice", "time to the first start of steps that need tickets",
         measure_advice},
        {"memory", "memory, control cost and message sizes by entity",
         measure_memory},
        {"peers", "processor time of heartbeats and calls between hosts",
         measure_peers},
        {"http", "processor time of an HTTP call", measure_http},
        {"cell", "processor time of the tick of a node, by system",
         measure_cell},
        {"feed", "processor time of the feed of targets", measure_feed}};
    return measures;
}

} // namespace fescuevane::bench

// Purpose: processor time of a node's tick by system, at a steady rate of
// starts.
#include "bench/cell_rig.hpp"
#include "bench/measure.hpp"

#include <array>
#include <stdexcept>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::uint32_t starts_a_second = 100;
constexpr std::uint32_t open_calls = 60;
constexpr std::int64_t  start_micros = 5 * micros_per_second; // of the node
constexpr std::int64_t  measured_micros = 10 * micros_per_second;

// Of a cell with three failure domains of the same size.
struct cell_setting
{
    std::uint32_t const targets_ = 0; // of one domain
    std::uint32_t const kept_records_ = 0;
};

constexpr std::array<cell_setting, 4> list_settings = {
    {{20, 1000}, {60, 1000}, {117, 1000}, {117, 10'000}}};

} // namespace

void measure_cell(std::uint64_t /*seed*/, std::vector<figure>& output)
{
    for (auto const& [targets, kept] : list_settings)
    {
        cell_rig rig({.targets_ = targets,
                      .other_targets_ = 2 * targets,
                      .starts_a_second_ = starts_a_second,
                      .kept_records_ = kept,
                      .open_calls_ = open_calls});
        rig.run(start_micros + kept * micros_per_second / starts_a_second);
        rig.clear_meter();
        std::uint64_t const before = rig.starts();
        rig.run(measured_micros);
        auto const seconds =
            static_cast<double>(measured_micros) / micros_per_second;
        double const starts =
            static_cast<double>(rig.starts() - before) / seconds;
        constexpr double least_part = 0.95;
        if (starts < least_part * starts_a_second || rig.meter().lapses() > 0)
        {
            throw std::runtime_error("the measured cell doesn't keep up");
        }
        auto const        ticks = static_cast<double>(rig.meter().ticks());
        std::string const setting = std::to_string(targets) + " targets, " +
                                    std::to_string(kept) + " records";
        double all = 0;
        for (auto const& [name, micros] : rig.meter().micros())
        {
            output.push_back({"cell",
                              setting,
                              name + ", us a tick",
                              micros / ticks,
                              {},
                              {}});
            all += micros;
        }
        output.push_back(
            {"cell", setting, "all systems, us a tick", all / ticks, {}, {}});
        output.push_back(
            {"cell", setting, "ticks a second", ticks / seconds, {}, {}});
        output.push_back({"cell",
                          setting,
                          "processor time, ms a second",
                          all / seconds / 1e3,
                          {},
                          {}});
    }
}

} // namespace fescuevane::bench

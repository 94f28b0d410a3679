// Purpose: one measured figure with its baseline and aim.
#ifndef FESCUEVANE_BENCH_FIGURE_HPP
#define FESCUEVANE_BENCH_FIGURE_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace fescuevane::bench
{

enum class aim_kind : std::uint8_t
{
    none,
    at_most,
    at_least
};

// Limit of a figure, in the unit of the figure.
struct aim
{
    aim_kind const kind_ = aim_kind::none;
    double const   limit_ = 0;

    friend bool operator==(aim const&, aim const&) = default;
};

struct figure
{
    std::string const           measure_;
    std::string const           setting_;
    std::string const           name_; // of the figure, with its unit
    double const                value_ = 0;
    std::optional<double> const baseline_; // none: the measure has none
    aim const                   aim_;

    friend bool operator==(figure const&, figure const&) = default;
};

} // namespace fescuevane::bench

#endif

// Purpose: a run that a target reports.
#ifndef FESCUEVANE_CELL_REPORTED_RUN_HPP
#define FESCUEVANE_CELL_REPORTED_RUN_HPP

#include "core/run_key.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct reported_run
{
    run_key const      run_;
    std::string const  checkpoint_;
    std::int32_t const percent_ = 0;
    std::int64_t const load_ = 0; // tail latency in ms, or 1/1000 core

    friend bool operator==(reported_run const&, reported_run const&) = default;
};

} // namespace fescuevane::cell

#endif

// Purpose: an end of a run that a target reports.
#ifndef FESCUEVANE_CELL_REPORTED_END_HPP
#define FESCUEVANE_CELL_REPORTED_END_HPP

#include "core/run_end.hpp"
#include "core/run_key.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct reported_end
{
    std::uint64_t const number_ = 0; // increases from 1 within an incarnation
    run_key const       run_;
    run_end const       end_ = run_end::done;
    std::string const   checkpoint_;

    friend bool operator==(reported_end const&, reported_end const&) = default;
};

} // namespace fescuevane::cell

#endif

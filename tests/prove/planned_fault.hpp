// Purpose: one fault of the seeded plan.
#ifndef FESCUEVANE_TESTS_PROVE_PLANNED_FAULT_HPP
#define FESCUEVANE_TESTS_PROVE_PLANNED_FAULT_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct planned_fault
{
    std::int64_t const  begin_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const  end_ = 0;
    std::size_t const   kind_ = 0;   // row of the table of kinds
    std::uint64_t const choice_ = 0; // selects the subject
};

} // namespace fescuevane::prove

#endif

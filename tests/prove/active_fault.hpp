// Purpose: a fault that is at work.
#ifndef FESCUEVANE_TESTS_PROVE_ACTIVE_FAULT_HPP
#define FESCUEVANE_TESTS_PROVE_ACTIVE_FAULT_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct active_fault
{
    std::int64_t const began_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const end_ = 0;
    std::size_t const  kind_ = 0;
    std::string const  subject_;
};

} // namespace fescuevane::prove

#endif

// Purpose: what one run of the cell is told.
#ifndef FESCUEVANE_TESTS_PROVE_RUN_OPTIONS_HPP
#define FESCUEVANE_TESTS_PROVE_RUN_OPTIONS_HPP

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct run_options
{
    std::uint64_t seed_ = 1;
    std::int64_t  seconds_ = 40; // of load; start and stop come on top
    std::string   bin_;          // folder of the programs
    std::string   folder_;       // of settings, logs and histories
};

} // namespace fescuevane::prove

#endif

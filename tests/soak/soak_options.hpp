// Purpose: options of a run of the soak.
#ifndef FESCUEVANE_TESTS_SOAK_SOAK_OPTIONS_HPP
#define FESCUEVANE_TESTS_SOAK_SOAK_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::soak
{

struct soak_options
{
    std::uint64_t seed_ = 1;
    double        minutes_ = 1; // of traffic and faults
    int           hosts_ = 6;
    int           targets_ = 12;
    double        jobs_a_second_ = 10;
    double        lasting_share_ = 0;     // of jobs, beside those of the table
    std::int64_t  limit_millis_ = 12'000; // of the limited organisation
    std::vector<std::string> only_;       // kinds of faults; empty: all
    std::string              programs_;   // folder of the programs
    std::string              folder_;     // of settings, logs and histories
};

} // namespace fescuevane::soak

#endif

// Purpose: the faults that the platform stand-in shows.
#ifndef FESCUEVANE_TESTS_STAND_INS_PLATFORM_FAULTS_HPP
#define FESCUEVANE_TESTS_STAND_INS_PLATFORM_FAULTS_HPP

#include <cstdint>

namespace fescuevane::stand_ins
{

struct platform_faults
{
    bool          store_down_ = false;    // tables and objects
    bool          hosts_down_ = false;    // host list
    std::uint32_t delay_millis_ = 0;      // of each reply
    std::uint32_t lose_next_commits_ = 0; // applied, then the call fails
    double        lose_fraction_ = 0.0;   // of later commits

    friend bool operator==(platform_faults const&,
                           platform_faults const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

// Purpose: switches of the store stand-in.
#ifndef FESCUEVANE_TESTS_SOAK_STORE_FAULTS_HPP
#define FESCUEVANE_TESTS_SOAK_STORE_FAULTS_HPP

#include <cstdint>

namespace fescuevane::soak
{

struct store_faults
{
    bool         down_ = false;     // answers 503 and does nothing
    bool         silent_ = false;   // does nothing and never answers
    double       lost_share_ = 0;   // of writes: performed, never answered
    double       late_share_ = 0;   // of writes: performed seconds later
    std::int64_t delay_micros_ = 0; // before each call takes effect

    friend bool operator==(store_faults const&, store_faults const&) = default;
};

} // namespace fescuevane::soak

#endif

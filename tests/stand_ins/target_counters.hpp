// Purpose: counters of a target.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_COUNTERS_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_COUNTERS_HPP

#include <cstdint>

namespace fescuevane::stand_ins
{

struct target_counters
{
    std::uint64_t starts_ = 0;
    std::uint64_t ends_ = 0;
    std::uint64_t rejects_ = 0;
    std::uint64_t overcommits_ = 0; // rejects above slots or capacity
    std::uint64_t lapses_ = 0;      // leases that expired with tasks
    std::uint64_t fenced_ = 0;      // batches of a lower epoch

    friend bool operator==(target_counters const&,
                           target_counters const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

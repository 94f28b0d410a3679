// Purpose: counters of the platform stand-in.
#ifndef FESCUEVANE_TESTS_STAND_INS_PLATFORM_COUNTERS_HPP
#define FESCUEVANE_TESTS_STAND_INS_PLATFORM_COUNTERS_HPP

#include <cstdint>

namespace fescuevane::stand_ins
{

struct platform_counters
{
    std::uint64_t reads_ = 0;
    std::uint64_t rows_read_ = 0;
    std::uint64_t commits_ = 0; // received, also repeated ones
    std::uint64_t commits_applied_ = 0;
    std::uint64_t commits_conflicted_ = 0;
    std::uint64_t commits_repeated_ = 0; // answered with the first result
    std::uint64_t rows_written_ = 0;
    std::uint64_t bytes_written_ = 0; // keys and values of applied commits
    std::uint64_t calls_failed_ = 0;  // by an outage
    std::uint64_t replies_lost_ = 0;
    std::uint64_t host_lists_ = 0;

    friend bool operator==(platform_counters const&,
                           platform_counters const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

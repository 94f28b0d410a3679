// Purpose: what a host gives its process.
#ifndef FESCUEVANE_IO_HOST_BUDGET_HPP
#define FESCUEVANE_IO_HOST_BUDGET_HPP

#include <compare>
#include <cstdint>

namespace fescuevane::io
{

struct host_budget
{
    std::uint64_t memory_mb_ = 160;
    std::uint64_t max_descriptors_ = 4100;

    friend auto operator<=>(host_budget const&, host_budget const&) = default;
};

// Descriptors that the system keeps for files.
constexpr std::uint64_t reserved_descriptors = 200;

} // namespace fescuevane::io

#endif

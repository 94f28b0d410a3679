// Purpose: bounds on the answers that a client of HTTP services holds.
#ifndef FESCUEVANE_IO_ANSWER_LIMITS_HPP
#define FESCUEVANE_IO_ANSWER_LIMITS_HPP

#include "io/host_budget.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace fescuevane::io
{

struct answer_limits
{
    std::size_t max_bytes_ = 4 << 20; // of one answer
    // Of all answers that are being read. Beyond it, only answers up to
    // `small_bytes_` are read to their end, so that ordinary services are heard
    // beside some whose answers are far too large.
    std::size_t max_sum_bytes_ = 20 << 20;
    std::size_t small_bytes_ = 65'536;

    friend auto operator<=>(answer_limits const&,
                            answer_limits const&) = default;
};

// An eighth of the memory for all answers. One of the largest always fits, and
// takes up to twice its size while it is read.
constexpr answer_limits make_answer_limits(host_budget const& budget,
                                           std::size_t        max_bytes)
{
    return {.max_bytes_ = max_bytes,
            .max_sum_bytes_ = std::max(
                static_cast<std::size_t>(budget.memory_mb_ << 17U), max_bytes)};
}

} // namespace fescuevane::io

#endif

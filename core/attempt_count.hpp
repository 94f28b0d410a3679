// Purpose: the attempts of a task against their limit.
#ifndef FESCUEVANE_CORE_ATTEMPT_COUNT_HPP
#define FESCUEVANE_CORE_ATTEMPT_COUNT_HPP

#include <cstdint>

namespace fescuevane
{

struct attempt_count
{
    std::uint32_t failed_ = 0; // by reports
    std::uint32_t unread_ = 0; // judged as over, the end may be listed yet
    std::uint32_t limit_ = 1;

    friend bool operator==(attempt_count const&,
                           attempt_count const&) = default;
};

// Each unread end may be a failure.
inline bool may_start(attempt_count const& attempts)
{
    return attempts.failed_ + attempts.unread_ < attempts.limit_;
}

// An unread end may be a success, so the task isn't given up before.
inline bool is_used_up(attempt_count const& attempts)
{
    return attempts.unread_ == 0 && attempts.failed_ >= attempts.limit_;
}

} // namespace fescuevane

#endif

// Purpose: event: a read or commit got no reply from the platform.
#ifndef FESCUEVANE_STATE_STORE_FAILED_HPP
#define FESCUEVANE_STATE_STORE_FAILED_HPP

#include <cstdint>

namespace fescuevane::state
{

// A commit may have taken effect all the same.
struct store_failed
{
    std::uint64_t const request_ = 0;

    friend bool operator==(store_failed const&, store_failed const&) = default;
};

} // namespace fescuevane::state

#endif

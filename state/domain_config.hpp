// Purpose: configuration of one failure domain.
#ifndef FESCUEVANE_STATE_DOMAIN_CONFIG_HPP
#define FESCUEVANE_STATE_DOMAIN_CONFIG_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace fescuevane::state
{

struct domain_config
{
    domain_id const domain_;
    bool const      in_service_ = true;
    bool const serves_when_cut_off_ = true;    // false: stops starting work ...
    std::int64_t const stop_after_micros_ = 0; // ... after this without contact

    friend bool operator==(domain_config const&,
                           domain_config const&) = default;
};

} // namespace fescuevane::state

#endif

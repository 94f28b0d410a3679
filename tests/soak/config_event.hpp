// Purpose: one version of the configuration that the operator sent.
#ifndef FESCUEVANE_TESTS_SOAK_CONFIG_EVENT_HPP
#define FESCUEVANE_TESTS_SOAK_CONFIG_EVENT_HPP

#include <cstdint>

namespace fescuevane::soak
{

struct config_event
{
    std::int64_t const sent_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const acknowledged_ = 0;
    std::int64_t const version_ = 0;

    friend bool operator==(config_event const&, config_event const&) = default;
};

} // namespace fescuevane::soak

#endif

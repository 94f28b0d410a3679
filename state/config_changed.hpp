// Purpose: command: the configuration in force has changed.
#ifndef FESCUEVANE_STATE_CONFIG_CHANGED_HPP
#define FESCUEVANE_STATE_CONFIG_CHANGED_HPP

#include "core/ids.hpp"

#include <memory>

namespace fescuevane::state
{

struct config;

struct config_changed
{
    std::shared_ptr<config const> const config_; // effective, never null

    friend bool operator==(config_changed const&,
                           config_changed const&) = default;
};

} // namespace fescuevane::state

#endif

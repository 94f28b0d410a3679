// Purpose: event: operators changed the configuration.
#ifndef FESCUEVANE_CELL_CONFIG_CHANGED_HPP
#define FESCUEVANE_CELL_CONFIG_CHANGED_HPP

#include "cell/cell_config.hpp"

#include <memory>

namespace fescuevane::cell
{

struct config_changed
{
    std::shared_ptr<cell_config const> const config_;

    friend bool operator==(config_changed const&,
                           config_changed const&) = default;
};

} // namespace fescuevane::cell

#endif

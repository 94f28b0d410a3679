// Purpose: a fault under way.
#ifndef FESCUEVANE_TESTS_SOAK_ACTIVE_FAULT_HPP
#define FESCUEVANE_TESTS_SOAK_ACTIVE_FAULT_HPP

#include "core/instant.hpp"

#include <functional>
#include <string>

namespace fescuevane::soak
{

struct active_fault
{
    std::string           name_;
    std::string           object_;
    instant               began_at_;
    instant               ends_at_;
    std::function<void()> end_; // may be empty
    instant               step_at_ = instant::never();
    // Called at `step_at_`; returns the next moment.
    std::function<instant(instant)> step_;
};

} // namespace fescuevane::soak

#endif

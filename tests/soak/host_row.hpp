// Purpose: one host of the cell under test.
#ifndef FESCUEVANE_TESTS_SOAK_HOST_ROW_HPP
#define FESCUEVANE_TESTS_SOAK_HOST_ROW_HPP

#include "core/instant.hpp"
#include "tests/soak/child_process.hpp"

#include <memory>
#include <string>

namespace fescuevane::soak
{

struct host_row
{
    std::string                    name_;
    std::string                    domain_;
    std::unique_ptr<child_process> process_;
    int                            life_ = 0;
    instant                        started_at_;
    instant                        restart_at_ = instant::never();
    instant                        kill_at_ = instant::never(); // after SIGTERM
    bool                           told_to_end_ = false;        // by a fault
};

} // namespace fescuevane::soak

#endif

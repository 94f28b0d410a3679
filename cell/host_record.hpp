// Purpose: contents of the stored row of a host.
#ifndef FESCUEVANE_CELL_HOST_RECORD_HPP
#define FESCUEVANE_CELL_HOST_RECORD_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct host_record
{
    std::string   address_;
    domain_id     domain_;
    double        cpu_share_ = 1;
    std::uint64_t incarnation_ = 0;

    friend bool operator==(host_record const&, host_record const&) = default;
};

} // namespace fescuevane::cell

#endif

// Purpose: a change of the host list that is not visible yet.
#ifndef FESCUEVANE_TESTS_STAND_INS_HOST_CHANGE_HPP
#define FESCUEVANE_TESTS_STAND_INS_HOST_CHANGE_HPP

#include "core/instant.hpp"
#include "tests/stand_ins/host.hpp"

#include <optional>

namespace fescuevane::stand_ins
{

struct host_change
{
    instant const             visible_from_;
    target_id const           target_;
    std::optional<host> const host_; // no value: removed

    friend bool operator==(host_change const&, host_change const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

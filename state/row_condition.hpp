// Purpose: condition of a commit.
#ifndef FESCUEVANE_STATE_ROW_CONDITION_HPP
#define FESCUEVANE_STATE_ROW_CONDITION_HPP

#include "core/ids.hpp"

#include <string>

namespace fescuevane::state
{

struct row_condition
{
    std::string const key_;
    revision const    revision_ = 0; // that the row must have; 0: absent

    friend bool operator==(row_condition const&,
                           row_condition const&) = default;
};

} // namespace fescuevane::state

#endif

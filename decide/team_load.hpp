// Purpose: what one team uses and wants of a shard.
#ifndef FESCUEVANE_DECIDE_TEAM_LOAD_HPP
#define FESCUEVANE_DECIDE_TEAM_LOAD_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace fescuevane::decide
{

struct team_load
{
    team_id const   team_;
    resources const used_;    // reserved by its tasks, with what is unproven
    resources const waiting_; // demand of its queued tasks

    friend bool operator==(team_load const&, team_load const&) = default;
};

} // namespace fescuevane::decide

#endif

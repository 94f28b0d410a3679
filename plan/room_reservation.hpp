// Purpose: reservation of capacity on a target for tasks that wait for tickets.
#ifndef FESCUEVANE_PLAN_ROOM_RESERVATION_HPP
#define FESCUEVANE_PLAN_ROOM_RESERVATION_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/stage_key.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct room_reservation
{
    stage_key const     stage_;
    std::uint32_t const index_ = 0; // of a long-running task
    std::int64_t const  tasks_ = 0; // of a gang; 0: for one long-running task
    target_id const     target_;
    resources const     amount_;
    instant const       firm_at_; // then binds better-ranked work, too
    instant const       until_;   // expiry

    friend bool operator==(room_reservation const&,
                           room_reservation const&) = default;
};

} // namespace fescuevane::plan

#endif

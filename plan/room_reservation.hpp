// Purpose: room that is held on a target for tasks that wait for tickets.
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
    std::uint32_t const index_ = 0; // of a lasting task
    std::int64_t const  tasks_ = 0; // of a gang; 0: held for a lasting task
    target_id const     target_;
    resources const     amount_;
    instant const       firm_at_; // then better-ranked work leaves it, too
    instant const       until_;

    friend bool operator==(room_reservation const&,
                           room_reservation const&) = default;
};

} // namespace fescuevane::plan

#endif

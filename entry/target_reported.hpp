// Purpose: event: a batch of a target arrived.
#ifndef FESCUEVANE_ENTRY_TARGET_REPORTED_HPP
#define FESCUEVANE_ENTRY_TARGET_REPORTED_HPP

#include "core/ids.hpp"
#include "decide/event.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::entry
{

struct target_reported
{
    target_id const     target_;
    std::uint64_t const attachment_ = 0;   // of the link it came over
    std::uint64_t const incarnation_ = 0;  // of the target's process
    std::int64_t const  clock_micros_ = 0; // of the target, when it sent this
    epoch const         epoch_ = 0;        // highest that the target has seen
    bool const          fenced_ = false;   // our epoch is too low
    bool const          snapshot_ = false;
    bool const          leaving_ = false;
    std::vector<decide::event> const events_; // of its tasks

    friend bool operator==(target_reported const&,
                           target_reported const&) = default;
};

} // namespace fescuevane::entry

#endif

// Purpose: the part of a team's upper limit that one shard holds.
#ifndef FESCUEVANE_STATE_ALLOTMENT_PART_HPP
#define FESCUEVANE_STATE_ALLOTMENT_PART_HPP

#include "core/resources.hpp"

#include <optional>

namespace fescuevane::state
{

struct allotment_part
{
    resources const                part_;
    std::optional<resources> const cap_;  // the part has to shrink to it
    resources const                want_; // demand that the pool didn't cover

    // What the shard may keep.
    resources ceiling() const { return cap_ ? min(part_, *cap_) : part_; }

    friend bool operator==(allotment_part const&,
                           allotment_part const&) = default;
};

} // namespace fescuevane::state

#endif

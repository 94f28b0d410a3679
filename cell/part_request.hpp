// Purpose: gang part that an outgoing call is about.
#ifndef FESCUEVANE_CELL_PART_REQUEST_HPP
#define FESCUEVANE_CELL_PART_REQUEST_HPP

#include "core/ids.hpp"
#include "core/stage_key.hpp"

namespace fescuevane::cell
{

struct part_request
{
    stage_key stage_; // of the gang
    job_id    part_;

    friend bool operator==(part_request const&, part_request const&) = default;
};

} // namespace fescuevane::cell

#endif

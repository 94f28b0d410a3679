// Purpose: event: a client opened a call about a job.
#ifndef FESCUEVANE_CELL_CALL_OPENED_HPP
#define FESCUEVANE_CELL_CALL_OPENED_HPP

#include "cell/call_kind.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/staged_job.hpp"

#include <cstdint>
#include <memory>

namespace fescuevane::cell
{

struct call_opened
{
    std::uint64_t const                     call_ = 0;
    call_kind const                         kind_ = call_kind::lookup;
    job_id const                            id_;
    std::shared_ptr<staged_job const> const job_; // submissions only, else null
    instant const                           deadline_; // of the reply

    friend bool operator==(call_opened const&, call_opened const&) = default;
};

} // namespace fescuevane::cell

#endif

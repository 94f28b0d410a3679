// Purpose: event: a call that renews leases (hold) ended.
#ifndef FESCUEVANE_CELL_HOLD_REPLY_HPP
#define FESCUEVANE_CELL_HOLD_REPLY_HPP

#include "cell/reported_end.hpp"
#include "cell/reported_run.hpp"
#include "cell/target_outcome.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

struct hold_reply
{
    std::uint64_t const             request_ = 0;
    target_id const                 target_;
    target_outcome const            outcome_ = target_outcome::unknown;
    std::int64_t const              clock_ms_ = 0;     // of the target
    std::int64_t const              born_unix_ms_ = 0; // 0: not reported
    std::vector<reported_run> const runs_;
    std::vector<reported_end> const ends_;
    std::string const               error_;

    friend bool operator==(hold_reply const&, hold_reply const&) = default;
};

} // namespace fescuevane::cell

#endif

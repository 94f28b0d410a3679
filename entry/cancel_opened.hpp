// Purpose: event: a caller cancels jobs of its team.
#ifndef FESCUEVANE_ENTRY_CANCEL_OPENED_HPP
#define FESCUEVANE_ENTRY_CANCEL_OPENED_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::entry
{

struct cancel_opened
{
    std::uint64_t const       call_ = 0;
    team_id const             team_;
    std::vector<job_id> const jobs_;
    std::string const         key_;

    friend bool operator==(cancel_opened const&,
                           cancel_opened const&) = default;
};

} // namespace fescuevane::entry

#endif

// Purpose: event: the platform decided a commit.
#ifndef FESCUEVANE_STATE_COMMIT_ENDED_HPP
#define FESCUEVANE_STATE_COMMIT_ENDED_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::state
{

struct commit_ended
{
    std::uint64_t const            request_ = 0;
    bool const                     applied_ = false;
    revision const                 revision_ = 0; // when applied
    std::vector<std::string> const conflicting_keys_;

    friend bool operator==(commit_ended const&, commit_ended const&) = default;
};

} // namespace fescuevane::state

#endif

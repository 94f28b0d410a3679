// Purpose: one life of a target of the stand-in.
#ifndef FESCUEVANE_TESTS_SOAK_TARGET_ROW_HPP
#define FESCUEVANE_TESTS_SOAK_TARGET_ROW_HPP

#include "core/instant.hpp"
#include "tests/soak/ended_row.hpp"
#include "tests/soak/running_row.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace fescuevane::soak
{

struct target_row
{
    std::string                         id_;
    std::int64_t                        life_ = 0;
    instant                             born_at_;
    std::int64_t                        born_unix_ms_ = 0;
    std::int64_t                        clock_permille_ = 980; // its speed
    std::int64_t                        fence_ = 0;
    std::int64_t                        lease_ms_ = 0; // on its own clock
    bool                                lapsed_ = true;
    std::map<std::string, running_row>  running_;     // by task
    std::map<std::string, std::int64_t> turned_down_; // runs up to this one
    std::deque<ended_row>               ended_;
    std::int64_t                        last_end_ = 0;

    // Switches
    instant up_at_;           // down until then
    instant frozen_until_;    // calls wait until then
    instant unheard_until_;   // its reports don't reach the store
    instant late_until_;      // orders are carried out late, without an answer
    instant very_late_until_; // the same, later
    instant drains_until_;    // then it leaves
    instant stuck_until_;     // single tasks on it make no progress
    instant fails_until_;     // each run ends as failed soon after its start
};

} // namespace fescuevane::soak

#endif

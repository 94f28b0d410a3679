// Purpose: what a target sends to an owner at once.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_REPORT_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_REPORT_HPP

#include "core/ids.hpp"
#include "tests/stand_ins/status_entry.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::stand_ins
{

struct target_report
{
    std::uint64_t const             stream_ = 0;
    std::uint64_t const             incarnation_ = 0;
    epoch const                     epoch_ = 0; // highest seen
    bool const                      fenced_ = false;
    bool const                      snapshot_ = false;
    bool const                      leaving_ = false;
    std::vector<status_entry> const tasks_;

    friend bool operator==(target_report const&,
                           target_report const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

// Purpose: the faults that a target shows.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_SWITCHES_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_SWITCHES_HPP

namespace fescuevane::stand_ins
{

struct target_switches
{
    bool const fail_tasks_ = false; // every started task fails at once
    bool const frozen_ = false; // reads and sends nothing; leases still expire
    bool const leaving_ = false;

    friend bool operator==(target_switches const&,
                           target_switches const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

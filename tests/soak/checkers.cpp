// Purpose: the table of the checkers, and when time bounds hold.
#include "tests/soak/checkers.hpp"

#include "tests/soak/history.hpp"

#include <algorithm>
#include <array>

namespace fescuevane::soak
{
namespace
{

constexpr std::int64_t contact_micros = 3'000'000; // `contactMs` of the sites

constexpr std::array<checker, 16> checkers = {{
    {"single_run", &check_single_run},
    {"no_repeat", &check_no_repeat},
    {"step_order", &check_step_order},
    {"no_overcommit", &check_no_overcommit},
    {"organisation_limit", &check_organisation_limit},
    {"attempts", &check_attempts},
    {"known_work", &check_known_work},
    {"evacuation", &check_evacuation},
    {"no_loss", &check_no_loss},
    {"no_stall", &check_no_stall},
    {"true_refusal", &check_true_refusal},
    {"true_state", &check_true_state},
    {"cancel", &check_cancel},
    {"graceful_stop", &check_graceful_stop},
    {"config_forward", &check_config_forward},
    {"config_in_force", &check_config_in_force},
}};

} // namespace

std::span<checker const> list_checkers()
{
    return checkers;
}

bool is_calm(history const& past, std::int64_t from, std::int64_t to)
{
    return std::none_of(past.faults_.begin(), past.faults_.end(),
                        [from, to](fault_event const& fault)
                        {
                            return fault.began_ <= to &&
                                   fault.ended_ >= from - contact_micros;
                        });
}

} // namespace fescuevane::soak

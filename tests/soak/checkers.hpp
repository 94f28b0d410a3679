// Purpose: the checkers of a history, one per promise.
#ifndef FESCUEVANE_TESTS_SOAK_CHECKERS_HPP
#define FESCUEVANE_TESTS_SOAK_CHECKERS_HPP

#include "tests/soak/violation.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace fescuevane::soak
{

struct history;

struct checker
{
    std::string_view const name_;
    std::vector<violation> (*const check_)(history const&);
};

std::span<checker const> list_checkers();

// True when no fault was active from the contact time before `from` to `to`:
// rules with a time bound hold only then.
bool is_calm(history const& past, std::int64_t from, std::int64_t to);

// Runs of tasks
std::vector<violation> check_single_run(history const& past);
std::vector<violation> check_no_repeat(history const& past);
std::vector<violation> check_step_order(history const& past);
std::vector<violation> check_no_overcommit(history const& past);
std::vector<violation> check_organisation_limit(history const& past);
std::vector<violation> check_attempts(history const& past);
std::vector<violation> check_known_work(history const& past);
std::vector<violation> check_evacuation(history const& past);

// Calls
std::vector<violation> check_no_loss(history const& past);
std::vector<violation> check_no_stall(history const& past);
std::vector<violation> check_true_refusal(history const& past);
std::vector<violation> check_true_state(history const& past);
std::vector<violation> check_cancel(history const& past);
std::vector<violation> check_graceful_stop(history const& past);
std::vector<violation> check_config_forward(history const& past);
std::vector<violation> check_config_in_force(history const& past);

} // namespace fescuevane::soak

#endif

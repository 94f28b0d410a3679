// Purpose: the table of the checkers, one per invariant.
#ifndef FESCUEVANE_TESTS_PROVE_CHECKERS_HPP
#define FESCUEVANE_TESTS_PROVE_CHECKERS_HPP

#include "tests/prove/violation.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace fescuevane::prove
{

struct call_event;
struct history;
struct stop_event;

// Bound of "within seconds" in the requirements, in microseconds.
constexpr long long effect_bound_micros = 5'000'000;

// Both functions are pure. The evidence counts what in the history could have
// broken the rule; a run with less than the floor proves nothing.
struct checker
{
    std::string_view const name_;
    std::vector<violation> (*const check_)(history const&);
    std::string_view const evidence_; // what is counted
    long long (*const count_evidence_)(history const&);
    long long const floor_;
};

std::span<checker const> list_checkers();

// False: the key was never granted to the team, or was withdrawn by a ticket
// that was accepted longer ago than the bound.
bool may_accept(history const& past, call_event const& call);

// True when the call was open at the process when it was told to stop.
bool is_open_at(call_event const& call, stop_event const& stop);

// Runs of tasks
std::vector<violation> check_no_overcommit(history const& past);
std::vector<violation> check_single_run(history const& past);
std::vector<violation> check_at_most_once(history const& past);
std::vector<violation> check_team_limit(history const& past);
std::vector<violation> check_domain_out(history const& past);
std::vector<violation> check_target_drain(history const& past);

// Calls
std::vector<violation> check_true_refusal(history const& past);
std::vector<violation> check_whole_answer(history const& past);
std::vector<violation> check_no_loss(history const& past);
std::vector<violation> check_team_key(history const& past);
std::vector<violation> check_graceful_stop(history const& past);

// Configuration
std::vector<violation> check_config_forward(history const& past);

} // namespace fescuevane::prove

#endif

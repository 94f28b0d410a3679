// Purpose: targets that run tasks under leases, as a table and systems over it.
#ifndef FESCUEVANE_TESTS_SOAK_TARGET_WORLD_HPP
#define FESCUEVANE_TESTS_SOAK_TARGET_WORLD_HPP

#include "core/instant.hpp"
#include "tests/soak/run_event.hpp"
#include "tests/soak/target_row.hpp"
#include "tests/soak/target_spec.hpp"
#include "tests/soak/target_traits.hpp"

#include <nlohmann/json_fwd.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace fescuevane::soak
{

struct target_world
{
    target_traits            traits_;
    std::vector<target_spec> specs_;
    std::vector<target_row>  targets_; // in the order of `specs_`
    std::vector<run_event>   events_;  // since the caller took them
    std::mt19937_64          random_;
};

using reply = std::pair<unsigned, nlohmann::json>; // status and body

target_world make_world(std::vector<target_spec> specs, std::uint64_t seed,
                        instant now, std::int64_t unix_ms,
                        target_traits const& traits = {});

// Runs end, leases lapse and gangs give up by `now`.
void    run_tick(target_world& world, instant now);
instant next_deadline(target_world const& world);

// Calls; `order` is the body, with the `caller`, a host. All throw
// nlohmann::json::exception for a malformed one.
reply start_run(target_world& world, std::size_t target,
                nlohmann::json const& order, instant now);
reply stop_run(target_world& world, std::size_t target,
               nlohmann::json const& order, instant now);
reply pace_run(target_world& world, std::size_t target,
               nlohmann::json const& order, instant now);
// None while the lists hold no end and the caller may wait.
std::optional<reply> take_hold(target_world& world, std::size_t target,
                               nlohmann::json const& order, instant now,
                               bool wait);

// Single tasks that run there, or start until then, make no progress.
void stick_runs(target_world& world, std::size_t target, instant until);

// The life ends with all that it runs; a new one begins at `up_at_`.
void begin_new_life(target_world& world, std::size_t target, bool keep_id,
                    instant now, std::int64_t unix_ms, instant up_at);

// Without a time, the entry of a target that doesn't drain.
nlohmann::json write_entry(target_spec const& spec, target_row const& target,
                           instant now = instant::never());

// The target's clock, which may be slow.
std::int64_t read_target_clock(target_row const& target, instant now);

} // namespace fescuevane::soak

#endif

// Purpose: the context of the platform stand-in. No I/O, clock or threads.
#ifndef FESCUEVANE_TESTS_STAND_INS_PLATFORM_CONTEXT_HPP
#define FESCUEVANE_TESTS_STAND_INS_PLATFORM_CONTEXT_HPP

#include "core/instant.hpp"
#include "tests/stand_ins/host_table.hpp"
#include "tests/stand_ins/platform_counters.hpp"
#include "tests/stand_ins/platform_faults.hpp"
#include "tests/stand_ins/row_table.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuevane::stand_ins
{

struct platform_context
{
    row_table                          rows_;
    host_table                         hosts_;
    std::map<std::string, std::string> objects_; // by name
    platform_faults                    faults_;
    platform_counters                  counters_;
    std::mt19937_64                    random_{1}; // chooses lost replies
};

// Each returns no value when the caller gets no reply. A commit whose reply is
// lost was applied.
std::optional<state::rows_read> read_platform(platform_context&       context,
                                              state::read_rows const& read);
std::optional<state::commit_ended>
commit_platform(platform_context& context, state::commit_rows const& commit);
std::optional<std::vector<host>> list_platform_hosts(platform_context& context,
                                                     instant           now);
bool                             admit_store_call(
                                platform_context& context); // false: outage; counts the call

} // namespace fescuevane::stand_ins

#endif

// Purpose: command: write a log line for a change of state.
#ifndef FESCUEVANE_ENTRY_STATE_NOTED_HPP
#define FESCUEVANE_ENTRY_STATE_NOTED_HPP

#include <string>

namespace fescuevane::entry
{

struct state_noted
{
    std::string const event_;  // such as "shard acquired"
    std::string const detail_; // what it is about

    friend bool operator==(state_noted const&, state_noted const&) = default;
};

} // namespace fescuevane::entry

#endif

// Purpose: command: log a decision.
#ifndef FESCUEVANE_PLAN_NOTE_HPP
#define FESCUEVANE_PLAN_NOTE_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"

#include <string>

namespace fescuevane::plan
{

struct note
{
    std::string const what_; // name of the log event
    run_key const     run_;
    target_id const   target_;
    std::string const why_;

    friend bool operator==(note const&, note const&) = default;
};

} // namespace fescuevane::plan

#endif

// Purpose: table of passed calls that were refused, one row a call.
#ifndef FESCUEVANE_ENTRY_REFUSAL_TABLE_HPP
#define FESCUEVANE_ENTRY_REFUSAL_TABLE_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "entry/answer_kind.hpp"
#include "entry/watcher.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace fescuevane::entry
{

// A call is passed again when its answer is slow, so a copy can arrive after
// the call was refused; accepting it would make the refusal untrue.
struct refusal_table
{
    using call_key = std::pair<watcher, job_key>;

    std::map<call_key, answer_kind>          kinds_;
    std::deque<std::pair<instant, call_key>> by_deadline_; // forgotten then
};

void append_refusal(refusal_table& table, watcher const& from,
                    job_key const& job, answer_kind kind, instant keep);
void expire_refusals(refusal_table& table, instant now);

// How the call was refused, none when it was not.
std::optional<answer_kind> find_refusal(refusal_table const& table,
                                        watcher const&       from,
                                        job_key const&       job);

} // namespace fescuevane::entry

#endif

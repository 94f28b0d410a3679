// Purpose: scheduling of one shard. The caller owns a `scheduler`, posts
// events, runs ticks and carries out the commands. No I/O, clock or threads:
// the same events at the same instants give the same commands.
//
// Index of sections
//   1. Context
//   2. Input and output
//   3. Ticks
//   4. Queries
#ifndef FESCUEVANE_DECIDE_DECIDE_HPP
#define FESCUEVANE_DECIDE_DECIDE_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "decide/command.hpp"
#include "decide/event.hpp"
#include "decide/settings.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace fescuevane
{
struct job_key;
struct job_result;
struct job_spec;
} // namespace fescuevane

namespace fescuevane::decide
{

// 1. Context
struct scheduler;  // all tables of one shard, see scheduler.hpp
struct shard_load; // summary for routing
struct team_load;  // summary for allotments

// Destroys the context; a functor, so that callers need not see its tables.
struct scheduler_deleter
{
    void operator()(scheduler* context) const;
};
using scheduler_ptr = std::unique_ptr<scheduler, scheduler_deleter>;

scheduler_ptr make_scheduler(settings const& values);

// 2. Input and output
void post_event(scheduler& context, event input); // applied by the next tick

// 3. Ticks
// Appends the commands in the order in which they have to be carried out.
// `now` never goes back.
void    run_tick(scheduler& context, instant now, std::vector<command>& output);
instant next_deadline(scheduler const& context); // next tick without events

// 4. Queries
// The specification of a job that the scheduler knows, else null.
std::shared_ptr<job_spec const> find_spec(scheduler const& context,
                                          job_key const&   job);
std::optional<job_result>       find_result(scheduler const& context,
                                            job_key const&   job);
shard_load                      summarize_load(scheduler const& context);
std::vector<team_load>          list_team_loads(scheduler const& context);

} // namespace fescuevane::decide

#endif

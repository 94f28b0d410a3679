// Purpose: functions on sessions with targets that several systems share.
// Internal to the package.
#ifndef FESCUEVANE_CELL_SESSIONS_HPP
#define FESCUEVANE_CELL_SESSIONS_HPP

#include "cell/node.hpp"
#include "core/run_outlook.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

// List of targets
void tell(node& context, session_row const& session, plan::event input);
void mark_unresponsive(node& context, target_id const& id,
                       std::string const& why);
void reset_incarnation(session_row& session);
void discard_orders(node& context, target_id const& id);
void end_incarnation(node& context, target_id const& id,
                     std::string const& why);

// Proof of the present owner, end of former owners
bool has_proof(node const& context, shard_id const& shard,
               owned_row const& own);
bool has_proof_of_store(node const& context, owned_row const& own);
void note_store_proof(owned_row& own, store_reply const& reply,
                      request_row const& request);
void note_predecessor_stopped(node const& context, owned_row& own);
void note_fence_contact(node const& context, shard_id const& shard,
                        owned_row& own);

// Starts that may still arrive
void record_late_start(node const& context, session_row& session,
                       run_key const& run, send_start const& start);
void record_late_renewal(session_row& session, std::int64_t lease_clock_ms,
                         instant arrives_until);
void replace_incarnation(node& context, target_id const& id);
void stop_late_starts(node& context, session_row& session, target_id const& id);
// A reply to an order that shows a later incarnation than the known one.
bool shows_restart(order_row const& order, order_reply const& reply);
// Asks the target again; until it replies it gets neither leases nor starts.
void doubt_incarnation(node& context, session_row& session,
                       order_row const& order, order_reply const& reply);
bool is_late_start_over(node const& context, session_row const& session,
                        session_run const& run);
bool awaits_late_starts(session_row const& session);
bool has_late_starts(node const& context, session_row const& session);

// Runs without a reported end
void log_run_judged(node& context, target_id const& id, run_key const& run,
                    std::string const& why);
void notify_ends_read(node& context, target_id const& id, session_row& session);

// Clocks and leases
std::int64_t target_clock(session_row const& session, instant now);
std::int64_t find_least_clock(settings const&    values,
                              session_row const& session, instant now);
instant      find_later_end(settings const& values, session_row const& session,
                            session_run const& run);
std::int64_t find_former_lease_end(settings const& values,
                                   std::int64_t    clock_ms);
instant      find_lapse(node const& context, session_row const& session);
run_outlook  find_outlook(node const& context, session_row const& session);
bool         is_answering(session_row const& session);
bool         may_have_work(node const& context, session_row const& session);

// Replies that show another epoch or another incarnation. True when the reply
// needs no further handling.
bool apply_mismatch(node& context, session_row& session, target_id const& id,
                    target_outcome outcome);

// Orders
void post_start(node& context, session_row& session, run_key const& run,
                send_start const& start, bool repeated);
void send_order(node& context, target_id const& id, session_row& session,
                plan::command const& order);
void send_stops(node& context, target_id const& id, session_row& session);
void withdraw_unsent_starts(node& context, target_id const& id,
                            session_row& session);
void mark_start_uncertain(node& context, session_row& session,
                          order_row const& order, std::string const& why);

} // namespace fescuevane::cell

#endif

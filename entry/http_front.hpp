// Purpose: the HTTP front end: decodes calls into events for the node and
// encodes the node's commands into answers.
#ifndef FESCUEVANE_ENTRY_HTTP_FRONT_HPP
#define FESCUEVANE_ENTRY_HTTP_FRONT_HPP

#include "core/instant.hpp"
#include "entry/call_table.hpp"
#include "entry/front_command.hpp"
#include "entry/front_event.hpp"
#include "entry/front_queries.hpp"
#include "entry/http_reply.hpp"
#include "entry/metrics.hpp"
#include "entry/settings.hpp"
#include "io/http_listener.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fescuevane::entry
{

struct http_call;
class span_tracer;

// Serves on the default GLib main context and is used on its thread only.
// Instants are those of g_get_monotonic_time. Each call is answered once: at
// once, by `deliver`, or as unknown when the node told nothing by the deadline.
class http_front
{
public:
    using event_sink = std::function<void(front_event)>;

    // An answer, or none when the call stays open for the node.
    using handled = std::optional<http_reply>;

    // Called at most once a second, with the refusals since the last call.
    using refusal_log = std::function<void(io::http_refusal, std::uint64_t)>;
    using handler = handled (http_front::*)(SoupServerMessage*,
                                            http_call const&);

    // `tracer` outlives the front end.
    http_front(settings const& values, event_sink sink, front_queries queries,
               span_tracer& tracer, refusal_log log);
    ~http_front();
    http_front(http_front const&) = delete;
    http_front& operator=(http_front const&) = delete;

    // Binds `http_address_`; throws front_error when that fails.
    void          listen();
    std::uint16_t port() const; // bound one, also when the settings name port 0

    // Counts a client that another port of the process refused.
    void count_refusal(io::http_refusal reason)
    {
        ++refused_.at(static_cast<std::size_t>(reason));
    }

    // Answers the call that the command names. A command for a call that is
    // no longer open changes nothing.
    void deliver(front_command const& output);
    // Calls without an answer and answers that are being written.
    std::size_t open_calls() const { return calls_.index_.size() + *writing_; }

private:
    friend struct http_routes; // table of the handlers below

    // Life of a message
    static void     on_call(SoupServer* server, SoupServerMessage* message,
                            char const* path, GHashTable* query, void* front);
    static gboolean on_deadline(void* front);
    static gboolean on_socket(GSocket* socket, GIOCondition condition,
                              void* place);
    static void     on_finished(SoupServerMessage* message, void* place);
    static void     on_written(SoupServerMessage* message, void* writing);
    handled         handle(SoupServerMessage* message);
    handled         dispatch(SoupServerMessage* message);

    // Open calls
    std::uint64_t open(SoupServerMessage* message, call_kind kind,
                       instant wait_deadline, trace_span span,
                       job_key const& job = {}, std::string const& key = {});
    source_ptr    watch_socket(SoupServerMessage* message, std::uint64_t call);
    void          answer(std::uint64_t call, http_reply const& reply);
    void          expire_calls();
    void          arm_timer();
    bool          is_full() const;

    // Checks; they throw http_error
    void check_room() const;
    void check_operator(http_call const& call) const;

    // Handlers
    handled submit(SoupServerMessage* message, http_call const& call);
    handled lookup(SoupServerMessage* message, http_call const& call);
    handled cancel(SoupServerMessage* message, http_call const& call);
    handled cancel_many(SoupServerMessage* message, http_call const& call);
    handled file_ticket(SoupServerMessage* message, http_call const& call);
    handled validate_ticket(SoupServerMessage* message, http_call const& call);
    handled diff_ticket(SoupServerMessage* message, http_call const& call);
    handled read_ticket(SoupServerMessage* message, http_call const& call);
    handled read_config(SoupServerMessage* message, http_call const& call);
    handled read_teams(SoupServerMessage* message, http_call const& call);
    handled read_targets(SoupServerMessage* message, http_call const& call);
    handled read_shards(SoupServerMessage* message, http_call const& call);
    handled read_limits(SoupServerMessage* message, http_call const& call);
    handled read_info(SoupServerMessage* message, http_call const& call);
    handled read_health(SoupServerMessage* message, http_call const& call);
    handled read_readiness(SoupServerMessage* message, http_call const& call);
    handled read_metrics(SoupServerMessage* message, http_call const& call);

    // Commands
    void tell(job_told const& told);
    void tell(call_rejected const& told);
    void tell(cancel_told const& told);
    void tell(ticket_told const& told);

    settings const               settings_;
    event_sink const             sink_;
    front_queries const          queries_;
    span_tracer&                 tracer_;
    refused_clients              refused_ = {};
    io::http_listener            listener_;
    call_table                   calls_;
    std::uint64_t                last_call_ = 0;
    std::shared_ptr<std::size_t> writing_ = std::make_shared<std::size_t>(0);
    call_metrics                 metrics_;
    source_ptr                   timer_; // of the earliest deadline
    instant                      timer_due_;
};

} // namespace fescuevane::entry

#endif

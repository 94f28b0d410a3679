// Purpose: handlers of the HTTP API, one a route.
//
// Index of sections
//   1. Checks
//   2. Jobs
//   3. Tickets
//   4. Read-backs
#include "entry/http_call.hpp"
#include "entry/http_error.hpp"
#include "entry/http_front.hpp"
#include "entry/http_json.hpp"
#include "entry/http_message.hpp"
#include "entry/http_reply.hpp"
#include "entry/http_submission.hpp"
#include "entry/tracing.hpp"
#include "state/config.hpp"
#include "state/ticket_error.hpp"

#include <charconv>
#include <utility>

namespace fescuevane::entry
{
namespace
{

// 1. Checks

// A cancellation takes effect within a tick or two of its owner.
constexpr std::int64_t default_cancel_wait_micros = micros_per_second;

// Tickets are in force everywhere within seconds; later the caller reads back.
constexpr std::int64_t default_ticket_wait_micros = 10 * micros_per_second;

instant find_deadline(http_call const& call, std::int64_t fallback_micros)
{
    return instant(g_get_monotonic_time())
        .after(call.wait_micros_.value_or(fallback_micros));
}

// Takes as long for a key that starts like the right one as for any other.
bool compare_in_constant_time(std::string const& a, std::string const& b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        unsigned char const other = b.empty() ? 0 : b[i % b.size()];
        difference |= static_cast<unsigned char>(a[i]) ^ other;
    }
    return difference == 0;
}

// Callers of open services have neither team nor key.
void check_team(http_call const& call)
{
    if (call.team_.empty() && call.key_.empty())
    {
        return;
    }
    if (call.team_.empty())
    {
        throw http_error(400, "X-Team: is required");
    }
    check_id(call.team_.str(), "X-Team");
}

job_key read_job_key(http_call const& call)
{
    check_team(call);
    check_id(call.argument_, "path");
    return {call.team_, job_id(call.argument_)};
}

} // namespace

void http_front::check_room() const
{
    if (is_full())
    {
        throw http_error(503, "too many open calls");
    }
}

void http_front::check_operator(http_call const& call) const
{
    if (settings_.operator_key_.empty())
    {
        throw http_error(403, "X-Key: no operator key is set here");
    }
    if (call.key_.empty())
    {
        throw http_error(401, "X-Key: is required");
    }
    if (!compare_in_constant_time(call.key_, settings_.operator_key_))
    {
        throw http_error(403, "X-Key: not the operator key");
    }
}

// 2. Jobs

http_front::handled http_front::submit(SoupServerMessage* message,
                                       http_call const&   call)
{
    check_content_type(message);
    check_team(call);
    trace_span span = tracer_.start_span("submit", call.traceparent_);
    http_submission const body =
        parse_job(call.body_, call.team_, span.traceparent(),
                  instant(g_get_monotonic_time()));
    if (is_full())
    {
        return write_job({.key_ = body.spec_.key_,
                          .state_ = job_state::not_run,
                          .reason_ = "too many open calls",
                          .retry_after_micros_ = micros_per_second},
                         settings_.state_.host_);
    }
    std::uint64_t const id =
        open(message, call_kind::submit, body.wait_deadline_, std::move(span),
             body.spec_.key_);
    sink_(submit_opened{.call_ = id,
                        .spec_ = body.spec_,
                        .key_ = call.key_,
                        .wait_deadline_ = body.wait_deadline_});
    return std::nullopt;
}

http_front::handled http_front::lookup(SoupServerMessage* message,
                                       http_call const&   call)
{
    job_key const job = read_job_key(call);
    check_room();
    instant const       deadline = find_deadline(call, 0);
    std::uint64_t const id =
        open(message, call_kind::lookup, deadline,
             tracer_.start_span("lookup", call.traceparent_), job);
    sink_(lookup_opened{.call_ = id,
                        .job_ = job,
                        .key_ = call.key_,
                        .wait_deadline_ = deadline});
    return std::nullopt;
}

http_front::handled http_front::cancel(SoupServerMessage* message,
                                       http_call const&   call)
{
    job_key const job = read_job_key(call);
    if (!call.body_.empty())
    {
        throw http_error(400, "body: expected none");
    }
    check_room();
    std::uint64_t const id =
        open(message, call_kind::cancel,
             find_deadline(call, default_cancel_wait_micros),
             tracer_.start_span("cancel", call.traceparent_), job, call.key_);
    sink_(cancel_opened{.call_ = id,
                        .team_ = job.team_,
                        .jobs_ = {job.job_},
                        .key_ = call.key_});
    return std::nullopt;
}

http_front::handled http_front::cancel_many(SoupServerMessage* message,
                                            http_call const&   call)
{
    check_content_type(message);
    check_team(call);
    std::vector<job_id> ids = parse_ids(call.body_);
    check_room();
    std::uint64_t const id =
        open(message, call_kind::bulk_cancel, find_deadline(call, 0),
             tracer_.start_span("bulk_cancel", call.traceparent_));
    sink_(cancel_opened{.call_ = id,
                        .team_ = call.team_,
                        .jobs_ = std::move(ids),
                        .key_ = call.key_});
    return std::nullopt;
}

// 3. Tickets

http_front::handled http_front::file_ticket(SoupServerMessage* message,
                                            http_call const&   call)
{
    check_operator(call);
    check_content_type(message);
    check_ticket_syntax(call.body_);
    check_room();
    instant const deadline = find_deadline(call, default_ticket_wait_micros);
    std::uint64_t const id =
        open(message, call_kind::ticket, deadline,
             tracer_.start_span("ticket", call.traceparent_));
    sink_(ticket_opened{
        .call_ = id, .text_ = call.body_, .wait_deadline_ = deadline});
    return std::nullopt;
}

http_front::handled http_front::validate_ticket(SoupServerMessage* message,
                                                http_call const&   call)
{
    check_operator(call);
    check_content_type(message);
    check_ticket_syntax(call.body_);
    try
    {
        queries_.apply_ticket_(call.body_);
    }
    catch (state::ticket_error const& error)
    {
        throw http_error(422, error.what());
    }
    return http_reply{.body_ = R"({"valid":true})"};
}

http_front::handled http_front::diff_ticket(SoupServerMessage* message,
                                            http_call const&   call)
{
    check_operator(call);
    check_content_type(message);
    check_ticket_syntax(call.body_);
    try
    {
        return http_reply{.body_ =
                              write_diff(queries_.write_config_(),
                                         queries_.apply_ticket_(call.body_))};
    }
    catch (state::ticket_error const& error)
    {
        throw http_error(422, error.what());
    }
}

http_front::handled http_front::read_ticket(SoupServerMessage* /*message*/,
                                            http_call const& call)
{
    check_operator(call);
    ticket_number     number = 0;
    char const* const last = call.argument_.data() + call.argument_.size();
    auto const [end, error] =
        std::from_chars(call.argument_.data(), last, number);
    if (error != std::errc() || end != last)
    {
        throw http_error(400, "path: expected the number of a ticket");
    }
    auto const ticket = queries_.find_ticket_(number);
    if (!ticket)
    {
        throw http_error(404, "ticket " + call.argument_ + " is not known");
    }
    return http_reply{.body_ =
                          write_ticket(*ticket, queries_.accepted_number_(),
                                       queries_.list_missing_domains_(number),
                                       queries_.hash_key_)};
}

http_front::handled http_front::read_config(SoupServerMessage* /*message*/,
                                            http_call const& call)
{
    check_operator(call);
    return http_reply{.body_ = write_config_state(queries_.accepted_number_(),
                                                  queries_.committed_number_(),
                                                  queries_.write_config_())};
}

// 4. Read-backs

http_front::handled http_front::read_teams(SoupServerMessage* /*message*/,
                                           http_call const& /*call*/)
{
    return http_reply{.body_ = write_teams(queries_.effective_config_().get())};
}

http_front::handled http_front::read_targets(SoupServerMessage* /*message*/,
                                             http_call const& /*call*/)
{
    return http_reply{.body_ = write_targets(queries_.list_targets_())};
}

http_front::handled http_front::read_shards(SoupServerMessage* /*message*/,
                                            http_call const& /*call*/)
{
    return http_reply{.body_ = write_shards(queries_.list_shards_())};
}

http_front::handled http_front::read_limits(SoupServerMessage* /*message*/,
                                            http_call const& /*call*/)
{
    return http_reply{.body_ = write_limits(queries_.list_limits_())};
}

http_front::handled http_front::read_info(SoupServerMessage* /*message*/,
                                          http_call const& /*call*/)
{
    return http_reply{
        .body_ = write_info(settings_.state_.host_, settings_.state_.domain_)};
}

http_front::handled http_front::read_health(SoupServerMessage* /*message*/,
                                            http_call const& /*call*/)
{
    return http_reply{.body_ = R"({"healthy":true})"};
}

http_front::handled http_front::read_readiness(SoupServerMessage* /*message*/,
                                               http_call const& /*call*/)
{
    bool const ready = queries_.is_ready_();
    return http_reply{.status_ = ready ? 200U : 503U,
                      .body_ =
                          ready ? R"({"ready":true})" : R"({"ready":false})"};
}

http_front::handled http_front::read_metrics(SoupServerMessage* /*message*/,
                                             http_call const& /*call*/)
{
    return http_reply{
        .body_ = write_counters(queries_.read_counters_()) + metrics_.write() +
                 write_refused_clients(refused_) +
                 write_open_calls(calls_.index_.size()),
        .content_type_ = "text/plain; version=0.0.4; charset=utf-8"};
}

} // namespace fescuevane::entry

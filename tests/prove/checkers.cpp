// Purpose: the table of the checkers and the evidence that each needs.
#include "tests/prove/checkers.hpp"

#include "tests/prove/history.hpp"

#include <algorithm>
#include <array>

namespace fescuevane::prove
{
namespace
{

template <typename Row, typename Condition>
long long count_rows(std::vector<Row> const& rows, Condition const& condition)
{
    return std::count_if(rows.begin(), rows.end(), condition);
}

bool is_start(run_event const& run)
{
    return run.event_ == "start";
}

long long count_starts(history const& past)
{
    return count_rows(past.runs_, &is_start);
}

long long count_retries(history const& past)
{
    return count_rows(past.runs_,
                      [](run_event const& run)
                      {
                          return is_start(run) && run.attempt_ > 1;
                      });
}

long long count_single_starts(history const& past)
{
    return count_rows(past.runs_,
                      [](run_event const& run)
                      {
                          return is_start(run) && !run.idempotent_;
                      });
}

long long count_refused_keys(history const& past)
{
    return count_rows(past.calls_,
                      [&past](call_event const& call)
                      {
                          return call.action_ == call_action::submit &&
                                 call.end_ == call_end::replied &&
                                 !may_accept(past, call);
                      });
}

bool lowers(history const& past, ticket_event const& ticket,
            std::string const& team, resources const& limit)
{
    resources const* before = nullptr;
    for (ticket_event const& other : past.tickets_)
    {
        auto const old = other.limits_.find(team);
        if (other.number_ < ticket.number_ && old != other.limits_.end())
        {
            before = &old->second;
        }
    }
    return before != nullptr && limit.cpu_millis() < before->cpu_millis();
}

long long count_lower_limits(history const& past)
{
    return count_rows(
        past.tickets_,
        [&past](ticket_event const& ticket)
        {
            return ticket.accepted_ >= 0 &&
                   std::any_of(ticket.limits_.begin(), ticket.limits_.end(),
                               [&](auto const& limit)
                               {
                                   return lowers(past, ticket, limit.first,
                                                 limit.second);
                               });
        });
}

long long count_domains_out(history const& past)
{
    return count_rows(past.tickets_,
                      [](ticket_event const& ticket)
                      {
                          return ticket.accepted_ >= 0 &&
                                 std::any_of(ticket.domains_.begin(),
                                             ticket.domains_.end(),
                                             [](auto const& domain)
                                             {
                                                 return !domain.second;
                                             });
                      });
}

long long count_checked_answers(history const& past)
{
    return count_rows(past.calls_,
                      [](call_event const& call)
                      {
                          return call.checks_body_ &&
                                 call.outcome_ == "succeeded";
                      });
}

long long count_refusals(history const& past)
{
    return count_rows(past.calls_,
                      [](call_event const& call)
                      {
                          return call.state_ == "not_run";
                      });
}

long long count_durable_look_ups(history const& past)
{
    return count_rows(past.calls_,
                      [](call_event const& call)
                      {
                          return call.durable_ &&
                                 call.action_ == call_action::look_up &&
                                 call.end_ == call_end::replied;
                      });
}

long long count_leaving(history const& past)
{
    return count_rows(past.runs_,
                      [](run_event const& run)
                      {
                          return run.event_ == "leaving";
                      });
}

long long count_busy_stops(history const& past)
{
    return count_rows(past.stops_,
                      [&past](stop_event const& stop)
                      {
                          return stop.planned_ &&
                                 std::any_of(past.calls_.begin(),
                                             past.calls_.end(),
                                             [&stop](call_event const& call)
                                             {
                                                 return is_open_at(call, stop);
                                             });
                      });
}

long long count_reads(history const& past)
{
    return static_cast<long long>(past.reads_.size());
}

constexpr std::array<checker, 12> checkers = {{
    {"no_overcommit", &check_no_overcommit, "starts", &count_starts, 200},
    {"single_run", &check_single_run, "starts of further attempts",
     &count_retries, 5},
    {"no_loss", &check_no_loss, "look-ups of work that must be durable",
     &count_durable_look_ups, 5},
    {"team_key", &check_team_key, "submissions without a valid key",
     &count_refused_keys, 20},
    {"team_limit", &check_team_limit, "accepted lower limits",
     &count_lower_limits, 1},
    {"domain_out", &check_domain_out, "accepted domains out",
     &count_domains_out, 1},
    {"whole_answer", &check_whole_answer, "compared answers",
     &count_checked_answers, 100},
    {"true_refusal", &check_true_refusal, "answers of not run", &count_refusals,
     20},
    {"at_most_once", &check_at_most_once, "non-idempotent starts",
     &count_single_starts, 50},
    {"target_drain", &check_target_drain, "targets marked leaving",
     &count_leaving, 1},
    {"graceful_stop", &check_graceful_stop, "planned stops with open calls",
     &count_busy_stops, 1},
    {"config_forward", &check_config_forward, "reads of the accepted number",
     &count_reads, 100},
}};

} // namespace

std::span<checker const> list_checkers()
{
    return checkers;
}

} // namespace fescuevane::prove

// Purpose: checkers of calls, stops and read-backs.
//
// Index of sections
//   1. Refusals
//   2. Answers
//   3. Lost work
//   4. Keys
//   5. Graceful stops
//   6. Configuration
#include "tests/prove/checkers.hpp"
#include "tests/prove/history.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::prove
{
namespace
{

using job_name = std::pair<std::string, std::string>; // team, job

// The id in the reply wins, because the process may have assigned it.
job_name make_job_name(call_event const& call)
{
    return {call.team_, call.id_.empty() ? call.asked_id_ : call.id_};
}

bool is_refused(call_event const& call)
{
    return call.end_ == call_end::replied && call.state_ == "not_run";
}

bool is_rejected(call_event const& call)
{
    return call.end_ == call_end::replied && call.state_.empty() &&
           call.status_ >= 400 && call.status_ < 500;
}

// 1. Refusals

// A submission that may have caused a start at `time`.
bool explains(call_event const& call, std::int64_t time)
{
    return call.action_ == call_action::submit && call.began_ <= time &&
           !is_refused(call) && !is_rejected(call);
}

// True when callers were told "not run" and nothing else, so that they must
// take the job as not run, also after a call that was lost.
bool is_finally_refused(std::vector<call_event const*> const& calls)
{
    return std::none_of(calls.begin(), calls.end(),
                        [](call_event const* call)
                        {
                            return call->end_ == call_end::replied &&
                                   !call->state_.empty() && !is_refused(*call);
                        });
}

// A refused submission is false when a start has no other cause. A refusal told
// by a look-up or a cancellation covers all submissions that ended before it.
bool is_contradicted(call_event const&                     refusal,
                     std::vector<call_event const*> const& calls,
                     run_event const&                      start)
{
    if (refusal.action_ == call_action::submit)
    {
        return start.time_ >= refusal.began_ &&
               std::none_of(calls.begin(), calls.end(),
                            [&](call_event const* call)
                            {
                                return explains(*call, start.time_);
                            });
    }
    return start.time_ < refusal.began_ ||
           std::none_of(calls.begin(), calls.end(),
                        [&](call_event const* call)
                        {
                            return explains(*call, start.time_) &&
                                   (call->end_ != call_end::replied ||
                                    call->ended_ > refusal.began_);
                        });
}

} // namespace

std::vector<violation> check_true_refusal(history const& past)
{
    std::map<job_name, std::vector<call_event const*>> calls;
    std::map<job_name, std::vector<run_event const*>>  starts;
    for (call_event const& call : past.calls_)
    {
        calls[make_job_name(call)].push_back(&call);
    }
    for (run_event const& run : past.runs_)
    {
        if (run.event_ == "start")
        {
            starts[{run.team_, run.job_}].push_back(&run);
        }
    }
    std::vector<violation> found;
    for (auto const& entry : calls)
    {
        auto const& group = entry.second;
        auto const  started = starts.find(entry.first);
        if (started == starts.end())
        {
            continue;
        }
        bool const final = is_finally_refused(group);
        for (call_event const* const call : group)
        {
            auto const start = std::find_if(
                started->second.begin(), started->second.end(),
                [&](run_event const* run)
                {
                    return is_refused(*call) &&
                           (final || is_contradicted(*call, group, *run));
                });
            if (start != started->second.end())
            {
                found.push_back({"a job answered as not run has started",
                                 {format_call(*call), (*start)->line_}});
            }
        }
    }
    return found;
}

// 2. Answers

namespace
{

bool has_own_answer(call_event const& call)
{
    if (!call.checks_body_ || call.state_ != "answered" ||
        call.outcome_ != "succeeded")
    {
        return true;
    }
    return call.body_ == call.expected_;
}

bool has_own_names(call_event const& call)
{
    return call.state_.empty() ||
           ((call.asked_id_.empty() || call.id_ == call.asked_id_) &&
            call.reply_team_ == call.team_);
}

} // namespace

std::vector<violation> check_whole_answer(history const& past)
{
    std::vector<violation> found;
    for (call_event const& call : past.calls_)
    {
        if (call.end_ == call_end::open || call.completions_ != 1)
        {
            found.push_back({"a call was answered " +
                                 std::to_string(call.completions_) + " times",
                             {format_call(call)}});
        }
        else if (call.end_ == call_end::replied &&
                 !(has_own_names(call) && has_own_answer(call)))
        {
            found.push_back(
                {"an answer isn't the one asked for", {format_call(call)}});
        }
    }
    return found;
}

// 3. Lost work

namespace
{

bool tells_record(call_event const& call)
{
    return call.end_ == call_end::replied && call.durable_ &&
           (call.state_ == "queued" || call.state_ == "dispatched" ||
            call.state_ == "running" || call.state_ == "answered");
}

} // namespace

// Work that must be durable and was told as accepted has a record later on.
std::vector<violation> check_no_loss(history const& past)
{
    constexpr unsigned                    not_found = 404;
    std::map<job_name, call_event const*> told; // the first of each job
    std::vector<violation>                found;
    for (call_event const& call : past.calls_)
    {
        if (tells_record(call))
        {
            told.emplace(make_job_name(call), &call);
        }
        auto const before = told.find(make_job_name(call));
        if (call.end_ == call_end::replied && call.status_ == not_found &&
            before != told.end() && before->second->ended_ < call.began_)
        {
            found.push_back(
                {"accepted work has no record",
                 {format_call(*before->second), format_call(call)}});
        }
    }
    return found;
}

// 4. Keys

// Granted by a ticket from its filing on, until 5 s after the acceptance of a
// ticket of the team without it.
bool may_accept(history const& past, call_event const& call)
{
    if (call.open_service_)
    {
        return true;
    }
    for (ticket_event const& grant : past.tickets_)
    {
        auto const keys = grant.keys_.find(call.team_);
        if (keys == grant.keys_.end() || !keys->second.contains(call.key_) ||
            grant.began_ > call.ended_)
        {
            continue;
        }
        bool const withdrawn = std::any_of(
            past.tickets_.begin(), past.tickets_.end(),
            [&](ticket_event const& later)
            {
                auto const set = later.keys_.find(call.team_);
                return later.number_ > grant.number_ &&
                       set != later.keys_.end() &&
                       !set->second.contains(call.key_) &&
                       later.accepted_ >= 0 &&
                       later.accepted_ + effect_bound_micros < call.began_;
            });
        if (!withdrawn)
        {
            return true;
        }
    }
    return false;
}

std::vector<violation> check_team_key(history const& past)
{
    std::vector<violation> found;
    for (call_event const& call : past.calls_)
    {
        bool const accepted = call.action_ == call_action::submit &&
                              call.end_ == call_end::replied &&
                              !call.state_.empty() && !is_refused(call);
        if (accepted && !may_accept(past, call))
        {
            found.push_back({"work was accepted with a key that isn't granted",
                             {format_call(call)}});
        }
    }
    return found;
}

// 5. Graceful stops

bool is_open_at(call_event const& call, stop_event const& stop)
{
    return call.entry_ == stop.entry_ &&
           call.incarnation_ == stop.incarnation_ &&
           call.began_ < stop.began_ && call.ended_ > stop.began_;
}

std::vector<violation> check_graceful_stop(history const& past)
{
    std::vector<violation> found;
    for (stop_event const& stop : past.stops_)
    {
        if (stop.exit_code_ != 0 || !stop.planned_)
        {
            found.push_back(
                {stop.entry_ + "#" + std::to_string(stop.incarnation_) +
                     " ended with code " + std::to_string(stop.exit_code_) +
                     (stop.planned_ ? " after SIGTERM at " : " by itself at ") +
                     std::to_string(stop.began_),
                 {}});
        }
        for (call_event const& call : past.calls_)
        {
            if (is_open_at(call, stop) && (call.end_ == call_end::broken ||
                                           call.end_ == call_end::refused))
            {
                found.push_back({"a call open at SIGTERM, sent at " +
                                     std::to_string(stop.began_) +
                                     ", was interrupted",
                                 {format_call(call)}});
            }
        }
    }
    return found;
}

// 6. Configuration

namespace
{

std::string format_read(config_read const& read)
{
    return read.entry_ + "#" + std::to_string(read.incarnation_) +
           " accepted " + std::to_string(read.accepted_) + ", read from " +
           std::to_string(read.began_) + " to " + std::to_string(read.ended_);
}

// A fault touches a process directly, through its failure domain or through
// the store. Its effects last for the bound.
bool is_touched(history const& past, std::string const& entry,
                std::int64_t from, std::int64_t to)
{
    auto const        place = past.entry_domains_.find(entry);
    std::string const domain =
        place == past.entry_domains_.end() ? "" : place->second;
    return std::any_of(past.faults_.begin(), past.faults_.end(),
                       [&](fault_event const& fault)
                       {
                           bool const near = fault.subject_ == entry ||
                                             fault.subject_ == domain ||
                                             fault.subject_ == "store";
                           return near && fault.began_ <= to &&
                                  fault.ended_ + effect_bound_micros >= from;
                       });
}

} // namespace

std::vector<violation> check_config_forward(history const& past)
{
    std::vector<violation>                                             found;
    std::map<std::pair<std::string, std::int64_t>, config_read const*> highest;
    for (config_read const& read : past.reads_)
    {
        auto const [entry, first] =
            highest.emplace(std::pair(read.entry_, read.incarnation_), &read);
        config_read const& before = *entry->second;
        if (before.accepted_ > read.accepted_ && before.ended_ < read.began_)
        {
            found.push_back({"the accepted number decreased",
                             {format_read(before), format_read(read)}});
        }
        if (read.accepted_ > before.accepted_)
        {
            entry->second = &read;
        }
        for (ticket_event const& ticket : past.tickets_)
        {
            bool const late =
                ticket.accepted_ >= 0 && read.accepted_ < ticket.number_ &&
                ticket.accepted_ + effect_bound_micros < read.began_;
            if (late &&
                !is_touched(past, read.entry_, ticket.accepted_, read.ended_))
            {
                found.push_back({"ticket " + std::to_string(ticket.number_) +
                                     ", accepted at " +
                                     std::to_string(ticket.accepted_) +
                                     ", is not in force",
                                 {format_read(read)}});
            }
        }
    }
    return found;
}

} // namespace fescuevane::prove

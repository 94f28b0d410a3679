// Purpose: checkers of calls and of what their answers promise.
//
// Index of sections
//   1. Calls as text
//   2. Lost jobs
//   3. Refusals
//   4. States
//   5. Cancels
//   6. Planned stops
//   7. Configuration
#include "tests/soak/checkers.hpp"
#include "tests/soak/history.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace fescuevane::soak
{

// 1. Calls as text

std::string format_call(call_event const& call)
{
    // In the order of `call_kind`.
    static constexpr std::array<char const*, 4> names = {"submit", "look_up",
                                                         "cancel", "probe"};
    return std::to_string(call.began_) + ".." + std::to_string(call.ended_) +
           " " + names.at(static_cast<std::size_t>(call.kind_)) + " " +
           call.job_ + " at " + call.host_ + "/" + std::to_string(call.life_) +
           ": " + std::to_string(call.status_) + " " + call.state_ +
           (call.final_ ? " (final)" : "");
}

// 2. Lost jobs

namespace
{

constexpr unsigned ok_status = 200;
constexpr unsigned gone_status = 410;

using call_list = std::vector<call_event const*>;

std::map<std::string, call_list> group_by_job(history const& past)
{
    std::map<std::string, call_list> jobs;
    for (call_event const& call : past.calls_)
    {
        if (!call.job_.empty())
        {
            jobs[call.job_].push_back(&call);
        }
    }
    return jobs;
}

// The first call of a kind that was answered with success, by its end.
call_event const* find_success(call_list const& calls, call_kind kind)
{
    call_event const* first = nullptr;
    for (call_event const* const call : calls)
    {
        if (call->kind_ == kind && call->status_ == ok_status &&
            (first == nullptr || call->ended_ < first->ended_))
        {
            first = call;
        }
    }
    return first;
}

bool is_asked_to_cancel(call_list const& calls)
{
    return std::any_of(calls.begin(), calls.end(),
                       [](call_event const* call)
                       {
                           return call->kind_ == call_kind::cancel;
                       });
}

call_event const* find_final(call_list const& calls)
{
    call_event const* last = nullptr;
    for (call_event const* const call : calls)
    {
        if (call->kind_ == call_kind::look_up && call->final_ &&
            (last == nullptr || call->began_ > last->began_))
        {
            last = call;
        }
    }
    return last;
}

} // namespace

std::vector<violation> check_no_loss(history const& past)
{
    constexpr std::int64_t visible_micros = 3'000'000; // `visible_ms`
    std::vector<violation> found;
    for (auto const& [job, calls] : group_by_job(past))
    {
        call_event const* const accepted =
            find_success(calls, call_kind::submit);
        if (accepted == nullptr)
        {
            continue;
        }
        call_event const* const last = find_final(calls);
        if (last != nullptr && last->status_ != ok_status &&
            !(is_asked_to_cancel(calls) && last->status_ == gone_status))
        {
            found.push_back({"an accepted job isn't known at the end",
                             {format_call(*accepted), format_call(*last)}});
            continue;
        }
        auto const lost = std::find_if(
            calls.begin(), calls.end(),
            [&](call_event const* call)
            {
                return call->kind_ == call_kind::look_up &&
                       call->status_ == gone_status &&
                       call->began_ > accepted->ended_ + visible_micros &&
                       is_calm(past, call->began_, call->ended_);
            });
        if (lost != calls.end() && !is_asked_to_cancel(calls))
        {
            found.push_back({"an accepted job isn't known",
                             {format_call(*accepted), format_call(**lost)}});
        }
    }
    return found;
}

// The driver asks until a job ends or the time for that is over.
std::vector<violation> check_no_stall(history const& past)
{
    std::vector<violation> found;
    for (auto const& [job, calls] : group_by_job(past))
    {
        call_event const* const accepted =
            find_success(calls, call_kind::submit);
        call_event const* const last = find_final(calls);
        if (accepted != nullptr && last != nullptr &&
            (last->state_ == "pending" || last->state_ == "running"))
        {
            found.push_back({"an accepted job doesn't end",
                             {format_call(*accepted), format_call(*last)}});
        }
    }
    return found;
}

// 3. Refusals

std::vector<violation> check_true_refusal(history const& past)
{
    std::map<std::string, run_event const*> starts;
    for (run_event const& event : past.runs_)
    {
        if (event.kind_ == run_event_kind::start)
        {
            starts.emplace(event.task_.job_, &event);
        }
    }
    std::vector<violation> found;
    for (auto const& [job, calls] : group_by_job(past))
    {
        auto const start = starts.find(job);
        bool const rejected = std::all_of(
            calls.begin(), calls.end(),
            [](call_event const* call)
            {
                constexpr std::array<unsigned, 5> rejections = {400, 401, 404,
                                                                429, 503};
                return call->kind_ != call_kind::submit ||
                       std::find(rejections.begin(), rejections.end(),
                                 call->status_) != rejections.end();
            });
        if (rejected && start != starts.end())
        {
            found.push_back({"a job runs that was always rejected",
                             {format_call(*calls.front()),
                              encode_run_event(*start->second)}});
        }
    }
    return found;
}

// 4. States

namespace
{

std::string explain_completed(job_plan const& plan, call_event const& call,
                              std::vector<run_event const*> const& runs)
{
    for (std::size_t step = 0; step < plan.steps_.size(); ++step)
    {
        std::set<int> done;
        for (run_event const* const run : runs)
        {
            if (run->kind_ == run_event_kind::end && run->reason_ == "done" &&
                run->task_.step_ == static_cast<int>(step) &&
                run->time_ <= call.ended_)
            {
                done.insert(run->task_.index_);
            }
        }
        if (done.size() < static_cast<std::size_t>(plan.steps_[step].count_))
        {
            return "a job is shown as completed with " +
                   std::to_string(done.size()) + " of " +
                   std::to_string(plan.steps_[step].count_) +
                   " tasks of step " + std::to_string(step) + " done";
        }
    }
    return "";
}

std::string explain_failed(history const& past, job_plan const& plan,
                           std::vector<run_event const*> const& runs)
{
    // Failed runs by task; a gang fails as a whole, so by step for gangs.
    std::map<std::string, std::set<std::int64_t>> failed;
    for (run_event const* const run : runs)
    {
        if (run->kind_ != run_event_kind::end || run->reason_ != "failed")
        {
            continue;
        }
        int const  step = run->task_.step_;
        bool const gang = plan.steps_.at(static_cast<std::size_t>(step)).gang_;
        auto&      group =
            failed[gang ? std::to_string(step) : format_task_name(run->task_)];
        group.insert(run->run_);
        if (group.size() >= static_cast<std::size_t>(past.max_attempts_))
        {
            return "";
        }
    }
    return "a job is shown as failed without failed attempts of a task";
}

} // namespace

std::vector<violation> check_true_state(history const& past)
{
    std::map<std::string, std::vector<run_event const*>> runs; // by job
    for (run_event const& run : past.runs_)
    {
        runs[run.task_.job_].push_back(&run);
    }
    std::vector<violation> found;
    for (auto const& [job, calls] : group_by_job(past))
    {
        std::set<std::string> checked;
        for (call_event const* const call : calls)
        {
            auto const plan = past.plans_.find(job);
            if (plan == past.plans_.end() || call->state_.empty() ||
                !checked.insert(call->state_).second)
            {
                continue;
            }
            std::string text;
            if (call->state_ == "completed")
            {
                text = explain_completed(plan->second, *call, runs[job]);
            }
            else if (call->state_ == "failed")
            {
                text = explain_failed(past, plan->second, runs[job]);
            }
            else if (call->state_ == "cancelled" && !is_asked_to_cancel(calls))
            {
                text = "a job is shown as cancelled that nobody cancelled";
            }
            if (!text.empty())
            {
                found.push_back({text, {format_call(*call)}});
            }
        }
    }
    return found;
}

// 5. Cancels

std::vector<violation> check_cancel(history const& past)
{
    constexpr std::int64_t bound_micros = 3'000'000; // `cancel_ms`
    auto const             jobs = group_by_job(past);
    std::vector<violation> found;
    for (run_event const& event : past.runs_)
    {
        auto const calls = jobs.find(event.task_.job_);
        if (event.kind_ != run_event_kind::start || calls == jobs.end())
        {
            continue;
        }
        call_event const* const canceled =
            find_success(calls->second, call_kind::cancel);
        if (canceled != nullptr &&
            event.time_ > canceled->ended_ + bound_micros &&
            is_calm(past, event.time_ - bound_micros, event.time_))
        {
            found.push_back(
                {"a task of a cancelled job starts",
                 {format_call(*canceled), encode_run_event(event)}});
        }
    }
    return found;
}

// 6. Planned stops

namespace
{

bool is_planned_stop(fault_event const& fault)
{
    return fault.name_ == "terminate_host";
}

// Beside planned stops alone, no call may be lost.
bool is_undisturbed(history const& past, fault_event const& stop)
{
    return std::none_of(past.faults_.begin(), past.faults_.end(),
                        [&stop](fault_event const& fault)
                        {
                            constexpr std::int64_t contact_micros = 3'000'000;
                            return !is_planned_stop(fault) &&
                                   fault.began_ <= stop.ended_ &&
                                   fault.ended_ >= stop.began_ - contact_micros;
                        });
}

} // namespace

// A call that was read is answered before the process ends. One that came when
// the connection was about to be closed may be lost within the slack.
std::vector<violation> check_graceful_stop(history const& past)
{
    constexpr std::int64_t slack_micros = 200'000; // `lossSlackMs`
    std::vector<violation> found;
    for (fault_event const& stop : past.faults_)
    {
        if (!is_planned_stop(stop) || !is_undisturbed(past, stop))
        {
            continue;
        }
        for (call_event const& call : past.calls_)
        {
            if (call.host_ == stop.object_ && call.status_ == 0 &&
                call.began_ <= stop.ended_ && call.ended_ >= stop.began_ &&
                call.ended_ - call.began_ > slack_micros)
            {
                found.push_back({"a call is lost by a planned stop at " +
                                     std::to_string(stop.began_),
                                 {format_call(call)}});
            }
        }
    }
    return found;
}

// 7. Configuration

// Each version adds a route of its own and removes that of the version before,
// so a served probe tells the version that is in force.
std::vector<violation> check_config_forward(history const& past)
{
    constexpr std::int64_t         slack_micros = 250'000; // `rollbackSlackMs`
    std::vector<call_event const*> probes;
    for (call_event const& call : past.calls_)
    {
        if (call.kind_ == call_kind::probe && call.status_ == ok_status)
        {
            probes.push_back(&call);
        }
    }
    std::vector<violation> found;
    for (call_event const* const later : probes)
    {
        auto const earlier = std::find_if(
            probes.begin(), probes.end(),
            [&](call_event const* probe)
            {
                return probe->host_ == later->host_ &&
                       probe->life_ == later->life_ &&
                       probe->version_ > later->version_ &&
                       probe->ended_ + slack_micros < later->began_;
            });
        if (earlier != probes.end())
        {
            found.push_back({"a host goes back from version " +
                                 std::to_string((*earlier)->version_) + " to " +
                                 std::to_string(later->version_),
                             {format_call(**earlier), format_call(*later)}});
        }
    }
    return found;
}

// A probe is served while its version is the newest, for route and key.
std::vector<violation> check_config_in_force(history const& past)
{
    constexpr std::int64_t bound_micros = 2'000'000; // `configApplyMs`
    constexpr std::array<unsigned, 2> withdrawn = {401, 404};
    std::vector<violation>            found;
    for (call_event const& call : past.calls_)
    {
        if (call.kind_ != call_kind::probe ||
            !is_calm(past, call.began_ - bound_micros, call.ended_))
        {
            continue;
        }
        auto const in_force = [&](config_event const& config)
        {
            return config.acknowledged_ + bound_micros < call.began_;
        };
        bool const is_replaced = std::any_of(
            past.configs_.begin(), past.configs_.end(),
            [&](config_event const& config)
            {
                return config.version_ > call.version_ && in_force(config);
            });
        bool const is_newest =
            std::none_of(past.configs_.begin(), past.configs_.end(),
                         [&](config_event const& config)
                         {
                             return config.version_ > call.version_ &&
                                    config.sent_ < call.ended_;
                         });
        bool const is_due = std::any_of(
            past.configs_.begin(), past.configs_.end(),
            [&](config_event const& config)
            {
                return config.version_ == call.version_ && in_force(config);
            });
        bool const is_rejected = std::find(withdrawn.begin(), withdrawn.end(),
                                           call.status_) != withdrawn.end();
        if ((is_replaced && call.status_ == ok_status) ||
            (is_newest && is_due && is_rejected))
        {
            found.push_back({"version " + std::to_string(call.version_) +
                                 " is handled as if it were " +
                                 (is_rejected ? "not yet" : "still") +
                                 " in force",
                             {format_call(call)}});
        }
    }
    return found;
}

} // namespace fescuevane::soak

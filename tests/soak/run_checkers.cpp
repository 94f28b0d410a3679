// Purpose: checkers of the runs of tasks.
//
// Index of sections
//   1. Runs at the same time
//   2. Runs after an end
//   3. Order of steps
//   4. Capacity and limits
//   5. Attempts
//   6. Causes of starts
//   7. Evacuations
#include "tests/soak/checkers.hpp"
#include "tests/soak/history.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuevane::soak
{
namespace
{

struct run_place
{
    std::string const  target_;
    std::string const  task_;
    std::int64_t const run_ = 0;

    friend auto operator<=>(run_place const&, run_place const&) = default;
};

run_place find_place(run_event const& event)
{
    return {event.target_, format_task_name(event.task_), event.run_};
}

} // namespace

// 1. Runs at the same time

namespace
{

// A run from its start to its end by what its target saw, as rows of the
// history; no end: it went on to the end of the history.
struct run_span
{
    run_event const* const start_;
    run_event const*       end_ = nullptr;
};

// By task, in the order of starts.
std::map<std::string, std::vector<run_span>> list_spans(history const& past)
{
    std::map<std::string, std::vector<run_span>> spans;
    for (run_event const& event : past.runs_)
    {
        if (event.kind_ == run_event_kind::start)
        {
            spans[format_task_name(event.task_)].push_back({&event});
        }
        else if (event.kind_ == run_event_kind::end)
        {
            for (run_span& span : spans[format_task_name(event.task_)])
            {
                if (span.end_ == nullptr &&
                    span.start_->target_ == event.target_ &&
                    span.start_->run_ == event.run_)
                {
                    span.end_ = &event;
                }
            }
        }
    }
    return spans;
}

std::string describe_run(run_event const& start)
{
    return "run " + std::to_string(start.run_) + " by " + start.host_ +
           " with epoch " + std::to_string(start.fence_) + " on " +
           start.target_;
}

violation describe_pair(std::string const& task, run_span const& first,
                        run_span const& second)
{
    std::vector<std::string> lines;
    for (run_event const* const event :
         {first.start_, second.start_, first.end_, second.end_})
    {
        if (event != nullptr)
        {
            lines.push_back(encode_run_event(*event));
        }
    }
    std::string length = "to the end";
    if (first.end_ != nullptr)
    {
        bool const is_within =
            second.end_ != nullptr && second.end_ < first.end_;
        run_event const& end = is_within ? *second.end_ : *first.end_;
        length = "for " + std::to_string(end.time_ - second.start_->time_) +
                 " us, until one is " + end.reason_;
    }
    return {"two runs of " + task + " at once, " + length + ": " +
                describe_run(*first.start_) + ", " +
                describe_run(*second.start_),
            std::move(lines)};
}

} // namespace

std::vector<violation> check_single_run(history const& past)
{
    std::vector<violation> found;
    for (auto const& [task, spans] : list_spans(past))
    {
        for (auto second = spans.begin(); second != spans.end(); ++second)
        {
            for (auto first = spans.begin(); first != second; ++first)
            {
                // Rows of the history are in the order of time.
                if (first->end_ == nullptr || second->start_ < first->end_)
                {
                    found.push_back(describe_pair(task, *first, *second));
                }
            }
        }
    }
    return found;
}

// 2. Runs after an end

// An end counts from the moment at which it was reached, when the owner let
// the target forget it and the lease hadn't lapsed in between.
std::vector<violation> check_no_repeat(history const& past)
{
    std::map<run_place, run_event const*>   done;
    std::map<std::string, run_event const*> counted; // first end by task
    for (run_event const& event : past.runs_)
    {
        if (event.kind_ == run_event_kind::lapse)
        {
            std::erase_if(done,
                          [&event](auto const& entry)
                          {
                              return entry.first.target_ == event.target_;
                          });
        }
        else if (event.kind_ == run_event_kind::end && event.reason_ == "done")
        {
            done[find_place(event)] = &event;
        }
        else if (event.kind_ == run_event_kind::noted)
        {
            auto const end = done.find(find_place(event));
            if (end != done.end())
            {
                counted.emplace(end->first.task_, end->second);
            }
        }
    }
    std::map<std::string, call_event const*> completed; // by job
    for (call_event const& call : past.calls_)
    {
        if (call.state_ == "completed")
        {
            auto const entry = completed.emplace(call.job_, &call).first;
            if (call.ended_ < entry->second->ended_)
            {
                entry->second = &call;
            }
        }
    }
    std::vector<violation> found;
    for (run_event const& event : past.runs_)
    {
        if (event.kind_ != run_event_kind::start)
        {
            continue;
        }
        auto const end = counted.find(format_task_name(event.task_));
        if (end != counted.end() && end->second->time_ < event.time_)
        {
            found.push_back(
                {"a task starts after its end was taken note of",
                 {encode_run_event(*end->second), encode_run_event(event)}});
        }
        constexpr std::int64_t shown_micros = 1'000'000;
        auto const             shown = completed.find(event.task_.job_);
        if (shown != completed.end() &&
            shown->second->ended_ + shown_micros < event.time_ &&
            is_calm(past, event.time_ - shown_micros, event.time_))
        {
            found.push_back(
                {"a task starts after its job was shown as completed",
                 {format_call(*shown->second), encode_run_event(event)}});
        }
    }
    return found;
}

// 3. Order of steps

std::vector<violation> check_step_order(history const& past)
{
    std::map<std::pair<std::string, int>, std::set<int>> done; // job and step
    std::vector<violation>                               found;
    for (run_event const& event : past.runs_)
    {
        auto const plan = past.plans_.find(event.task_.job_);
        if (plan == past.plans_.end())
        {
            continue;
        }
        if (event.kind_ == run_event_kind::end && event.reason_ == "done")
        {
            done[{event.task_.job_, event.task_.step_}].insert(
                event.task_.index_);
        }
        if (event.kind_ != run_event_kind::start)
        {
            continue;
        }
        auto const& steps = plan->second.steps_;
        for (int const before :
             steps.at(static_cast<std::size_t>(event.task_.step_)).after_)
        {
            auto const& ended = done[{event.task_.job_, before}];
            auto const  count = static_cast<std::size_t>(
                steps.at(static_cast<std::size_t>(before)).count_);
            if (ended.size() < count)
            {
                found.push_back(
                    {"a task starts before step " + std::to_string(before),
                     {encode_run_event(event)}});
            }
        }
    }
    return found;
}

// 4. Capacity and limits

namespace
{

// Follows what runs by a name that `name_of` gives to each start.
template <typename Name, typename Exceeds>
std::vector<violation> check_sums(history const& past, Name const& name_of,
                                  Exceeds const& exceeds, char const* text)
{
    std::map<run_place, run_event const*> running;
    std::map<std::string, resources>      sums;
    std::vector<violation>                found;
    for (run_event const& event : past.runs_)
    {
        if (event.kind_ == run_event_kind::start)
        {
            std::string const name = name_of(event);
            resources const   before = sums[name];
            sums[name] = before + event.demand_;
            running[find_place(event)] = &event;
            if (exceeds(event, before))
            {
                found.push_back({std::string(text) + ": " +
                                     std::to_string(sums[name].cpu_millis()) +
                                     " millicores of " + name,
                                 {encode_run_event(event)}});
            }
        }
        else if (event.kind_ == run_event_kind::end)
        {
            auto const start = running.find(find_place(event));
            if (start != running.end())
            {
                resources& sum = sums[name_of(*start->second)];
                sum = sum - start->second->demand_;
                running.erase(start);
            }
        }
    }
    return found;
}

} // namespace

std::vector<violation> check_no_overcommit(history const& past)
{
    return check_sums(
        past,
        [](run_event const& start)
        {
            return start.target_;
        },
        [&past](run_event const& start, resources const& before)
        {
            auto const capacity = past.capacity_.find(start.domain_);
            return capacity != past.capacity_.end() &&
                   !(before + start.demand_).fits_in(capacity->second);
        },
        "a target runs more than its capacity");
}

// A tenth above the limit and one task more are allowed.
std::vector<violation> check_organisation_limit(history const& past)
{
    constexpr std::int64_t overrun = 10;
    return check_sums(
        past,
        [](run_event const& start)
        {
            return start.organisation_;
        },
        [&past](run_event const& start, resources const& before)
        {
            auto const limit = past.limits_.find(start.organisation_);
            return limit != past.limits_.end() &&
                   limit->second.cpu_millis() > 0 &&
                   before.cpu_millis() >
                       limit->second.cpu_millis() * (overrun + 1) / overrun;
        },
        "an organisation runs more than its limit");
}

// 5. Attempts

std::vector<violation> check_attempts(history const& past)
{
    std::map<run_place, std::int64_t> failed; // time of the end
    std::map<std::string, int>        counted;
    std::vector<violation>            found;
    for (run_event const& event : past.runs_)
    {
        auto const plan = past.plans_.find(event.task_.job_);
        if (plan == past.plans_.end() ||
            plan->second.steps_.at(static_cast<std::size_t>(event.task_.step_))
                .perpetual_)
        {
            continue;
        }
        std::string const task = format_task_name(event.task_);
        if (event.kind_ == run_event_kind::end && event.reason_ == "failed")
        {
            failed[find_place(event)] = event.time_;
        }
        else if (event.kind_ == run_event_kind::noted &&
                 failed.contains(find_place(event)))
        {
            ++counted[task];
        }
        else if (event.kind_ == run_event_kind::start &&
                 counted[task] >= past.max_attempts_)
        {
            found.push_back({"a task starts after its last attempt",
                             {encode_run_event(event)}});
        }
    }
    return found;
}

// 6. Causes of starts

std::vector<violation> check_known_work(history const& past)
{
    std::vector<violation> found;
    for (run_event const& event : past.runs_)
    {
        if (event.kind_ == run_event_kind::start &&
            (!past.plans_.contains(event.task_.job_) ||
             event.payload_job_ != event.task_.job_))
        {
            found.push_back({"a task starts that no client sent, or with the "
                             "payload of another",
                             {encode_run_event(event)}});
        }
    }
    return found;
}

// 7. Evacuations

std::vector<violation> check_evacuation(history const& past)
{
    constexpr std::int64_t bound_micros = 5'000'000; // `evacuateMs`
    std::vector<violation> found;
    for (run_event const& event : past.runs_)
    {
        for (evacuation_event const& evacuation : past.evacuations_)
        {
            if (event.kind_ == run_event_kind::start &&
                event.domain_ == evacuation.domain_ &&
                event.time_ > evacuation.acknowledged_ + bound_micros &&
                event.time_ < evacuation.taken_back_ &&
                is_calm(past, event.time_ - bound_micros, event.time_))
            {
                found.push_back({"a task starts in a failure domain that was "
                                 "evacuated at " +
                                     std::to_string(evacuation.acknowledged_),
                                 {encode_run_event(event)}});
            }
        }
    }
    return found;
}

} // namespace fescuevane::soak

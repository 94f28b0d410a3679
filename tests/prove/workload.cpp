// Purpose: the callers of a run.
//
// Index of sections
//   1. Plans of jobs
//   2. Calls
//   3. System
#include "tests/prove/driver.hpp"
#include "tests/stand_ins/task_work.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace fescuevane::prove
{
namespace
{

using nlohmann::json;

constexpr std::int64_t micros_per_milli = 1000;
constexpr std::int64_t submit_interval_micros = 25 * micros_per_milli;
constexpr std::int64_t wait_ms = 6000;
constexpr std::int64_t call_timeout_ms = 12'000;
constexpr char const*  open_team = "open"; // of callers without a key
constexpr std::size_t  remembered_jobs = 400;
constexpr int          max_look_ups = 4;

// 1. Plans of jobs

struct team_row
{
    char const* const team_;
    char const* const service_;
    char const* const kept_key_;
    char const* const changing_key_; // withdrawn and granted by the operator
};

constexpr std::array<team_row, 3> teams = {{
    {"cafes", "refills", "cafes-1", "cafes-2"},
    {"couriers", "visits", "couriers-1", "couriers-2"},
    {"bottling", "matching", "bottling-1", "bottling-2"},
}};

struct kind_row
{
    char const* const  kind_;
    unsigned const     weight_; // of 100
    std::int64_t const max_tasks_;
    bool const         endless_;
};

constexpr std::array<kind_row, 4> kinds = {{
    {"request", 82, 1, false},
    {"batch", 8, 4, false},
    {"gang", 6, 4, false},
    {"service", 4, 1, true},
}};

kind_row const& choose_kind(driver& context)
{
    std::uint64_t left = choose(context, 100);
    for (kind_row const& row : kinds)
    {
        if (left < row.weight_)
        {
            return row;
        }
        left -= row.weight_;
    }
    return kinds.front();
}

std::string choose_key(driver& context, team_row const& team)
{
    std::uint64_t const percent = choose(context, 100);
    if (percent < 4)
    {
        return "never-granted";
    }
    return percent < 30 ? team.changing_key_ : team.kept_key_;
}

// The work and its answer come from the same values, so that a checker can
// compare the whole answer.
job_plan plan_job(driver& context)
{
    constexpr std::int64_t large_answer = 200'000;
    team_row const&        team = teams.at(choose(context, teams.size()));
    kind_row const&        kind = choose_kind(context);
    std::int64_t const     number = ++context.jobs_made_;
    std::string const      text = "answer-" + std::to_string(number);
    std::int64_t const     run_ms =
        kind.endless_ ? -1 : std::int64_t(10 + choose(context, 400));
    std::int64_t const bytes = happens(context, 5) ? large_answer : 0;
    std::int64_t const tasks =
        1 + std::int64_t(choose(context, std::uint64_t(kind.max_tasks_)));
    bool const open = happens(context, 6);
    bool const own_id = kind.endless_ || !happens(context, 25);
    auto const answer =
        stand_ins::make_answer({.answer_bytes_ = bytes, .echo_ = text});
    return {
        .id_ = own_id ? "job-" + std::to_string(number) : "",
        .team_ = open ? "" : team.team_,
        .key_ = open ? "" : choose_key(context, team),
        .service_ = open ? "status" : team.service_,
        .kind_ = kind.kind_,
        .tasks_ = tasks,
        .cpu_millis_ = std::int64_t(100 + 100 * choose(context, 10)),
        .memory_mib_ = std::int64_t(64 + 64 * choose(context, 16)),
        .idempotent_ = !happens(context, 30),
        .payload_ =
            json({{"run_ms", run_ms}, {"answer_bytes", bytes}, {"echo", text}})
                .dump(),
        .expected_ = tasks == 1 && answer ? *answer : "",
        .open_ = open};
}

std::string write_submission(job_plan const& job)
{
    json body = {{"service", job.service_},
                 {"kind", job.kind_},
                 {"tasks", job.tasks_},
                 {"cpu_millis", job.cpu_millis_},
                 {"memory_mib", job.memory_mib_},
                 {"idempotent", job.idempotent_},
                 {"payload", job.payload_},
                 {"wait_ms", job.kind_ == "service" ? 0 : wait_ms}};
    if (!job.id_.empty())
    {
        body["id"] = job.id_;
    }
    return body.dump();
}

// 2. Calls

std::string read_text(json const& value, char const* name)
{
    auto const field = value.find(name);
    return field != value.end() && field->is_string()
               ? field->get<std::string>()
               : std::string();
}

call_event complete(call_event const& call, std::int64_t now,
                    http_reply const& reply, std::int64_t completions)
{
    json const& body = reply.json_;
    bool const  is_job = body.is_object() && body.contains("state");
    return {.number_ = call.number_,
            .began_ = call.began_,
            .ended_ = now,
            .action_ = call.action_,
            .entry_ = call.entry_,
            .incarnation_ = call.incarnation_,
            .team_ = call.team_,
            .key_ = call.key_,
            .open_service_ = call.open_service_,
            .durable_ = call.durable_,
            .asked_id_ = call.asked_id_,
            .expected_ = call.expected_,
            .checks_body_ = call.checks_body_,
            .end_ = reply.end_,
            .completions_ = completions,
            .status_ = reply.status_,
            .id_ = is_job ? read_text(body, "id") : "",
            .reply_team_ = is_job ? read_text(body, "team") : "",
            .state_ = is_job ? read_text(body, "state") : "",
            .outcome_ = is_job ? read_text(body, "outcome") : "",
            .reason_ = is_job ? read_text(body, "reason") : body.dump(),
            .body_ = is_job ? read_text(body, "body") : ""};
}

job_plan with_id(job_plan const& job, std::string const& id)
{
    return {.id_ = id,
            .team_ = job.team_,
            .key_ = job.key_,
            .service_ = job.service_,
            .kind_ = job.kind_,
            .tasks_ = job.tasks_,
            .cpu_millis_ = job.cpu_millis_,
            .memory_mib_ = job.memory_mib_,
            .idempotent_ = job.idempotent_,
            .payload_ = job.payload_,
            .expected_ = job.expected_,
            .open_ = job.open_};
}

bool needs_look_up(call_event const& call)
{
    bool const lost = call.end_ != call_end::replied;
    bool const unfinished =
        call.state_ == "unknown" || call.state_ == "queued" ||
        call.state_ == "dispatched" || call.state_ == "running";
    return (lost || unfinished) && call.action_ != call_action::cancel;
}

void follow_up(driver& context, planned_call const& made,
               call_event const& call)
{
    std::string const id = call.id_.empty() ? call.asked_id_ : call.id_;
    if (id.empty())
    {
        return;
    }
    job_plan const job = with_id(made.job_, id);
    if (made.action_ == call_action::submit)
    {
        context.recent_jobs_.push_back(job);
        if (context.recent_jobs_.size() > remembered_jobs)
        {
            context.recent_jobs_.pop_front();
        }
    }
    if (needs_look_up(call) && made.repeats_ < max_look_ups)
    {
        std::int64_t const delay =
            std::int64_t(200 + choose(context, 1500)) * micros_per_milli;
        context.planned_calls_.push_back({.due_ = call.ended_ + delay,
                                          .action_ = call_action::look_up,
                                          .job_ = job,
                                          .repeats_ = made.repeats_ + 1});
    }
}

// A second completion would be a fault of the client library; the checker sees
// it as a second answer.
void end_call(driver& context, std::int64_t number, planned_call const& made,
              http_reply const& reply)
{
    auto const open = context.open_calls_.find(number);
    if (open == context.open_calls_.end())
    {
        return;
    }
    call_event const ended =
        complete(open->second, g_get_monotonic_time(), reply, 1);
    context.open_calls_.erase(open);
    context.calls_.push_back(ended);
    follow_up(context, made, ended);
}

struct action_row
{
    std::string (*const path_)(job_plan const&);
    std::string (*const body_)(job_plan const&);
};

// In the order of `call_action`.
constexpr std::array<action_row, 3> actions = {{
    {[](job_plan const& /*job*/) -> std::string
     {
         return "/v1/jobs";
     },
     &write_submission},
    {[](job_plan const& job)
     {
         return "/v1/jobs/" + job.id_ + "?wait_ms=2000";
     },
     [](job_plan const& /*job*/)
     {
         return std::string();
     }},
    {[](job_plan const& job)
     {
         return "/v1/jobs/" + job.id_ + "/cancel";
     },
     [](job_plan const& /*job*/)
     {
         return std::string();
     }},
}};

void make_call(driver& context, planned_call const& made)
{
    std::size_t const  entry = choose_entry(context);
    std::int64_t const number = ++context.calls_made_;
    job_plan const&    job = made.job_;
    entry_table const& entries = context.cell_.entries_;
    action_row const&  action =
        actions.at(static_cast<std::size_t>(made.action_));
    context.open_calls_.emplace(
        number,
        call_event{.number_ = number,
                   .began_ = g_get_monotonic_time(),
                   .action_ = made.action_,
                   .entry_ = entries.name_[entry],
                   .incarnation_ = entries.incarnation_[entry],
                   .team_ = job.open_ ? open_team : job.team_,
                   .key_ = job.key_,
                   .open_service_ = job.open_,
                   .durable_ = !job.idempotent_ || job.kind_ != "request",
                   .asked_id_ = job.id_,
                   .expected_ = job.expected_,
                   .checks_body_ = job.tasks_ == 1,
                   .end_ = call_end::open,
                   .completions_ = 0});
    context.http_.send({.address_ = entries.http_[entry],
                        .path_ = action.path_(job),
                        .post_ = made.action_ != call_action::look_up,
                        .body_ = action.body_(job),
                        .team_ = job.team_,
                        .key_ = job.key_,
                        .timeout_ms_ = call_timeout_ms},
                       [&context, number, made](http_reply const& reply)
                       {
                           end_call(context, number, made, reply);
                       });
}

// The same id through another entry process, at once or soon.
void plan_repeat(driver& context, job_plan const& job)
{
    std::int64_t const delay =
        std::int64_t(choose(context, 600)) * micros_per_milli;
    context.planned_calls_.push_back({.due_ = context.now_ + delay,
                                      .action_ = call_action::submit,
                                      .job_ = job});
}

void plan_cancel(driver& context, job_plan const& job, std::int64_t delay)
{
    context.planned_calls_.push_back({.due_ = context.now_ + delay,
                                      .action_ = call_action::cancel,
                                      .job_ = job});
}

void submit_new(driver& context)
{
    constexpr std::int64_t service_micros = 1'500'000;
    job_plan const         job = plan_job(context);
    make_call(context, {.action_ = call_action::submit, .job_ = job});
    if (!job.id_.empty() && happens(context, 10))
    {
        plan_repeat(context, job);
    }
    if (job.kind_ == "service")
    {
        plan_cancel(context, job, service_micros);
    }
}

void cancel_wave(driver& context)
{
    constexpr std::size_t wave = 30;
    std::size_t const     size = std::min(wave, context.recent_jobs_.size());
    auto const            first =
        context.recent_jobs_.end() - static_cast<std::ptrdiff_t>(size);
    for (auto job = first; job != context.recent_jobs_.end(); ++job)
    {
        plan_cancel(context, *job, 0);
    }
}

void make_due_calls(driver& context)
{
    std::vector<planned_call> due;
    std::vector<planned_call> later;
    for (planned_call const& call : context.planned_calls_)
    {
        (call.due_ <= context.now_ ? due : later).push_back(call);
    }
    context.planned_calls_.swap(later);
    for (planned_call const& call : due)
    {
        make_call(context, call);
    }
}

} // namespace

// 3. System

void make_calls(driver& context)
{
    constexpr unsigned wave_per_mille = 4; // of the submissions
    make_due_calls(context);
    for (; context.next_submit_ <= context.now_ && context.now_ < context.end_;
         context.next_submit_ += submit_interval_micros)
    {
        submit_new(context);
        if (choose(context, 1000) < wave_per_mille)
        {
            cancel_wave(context);
        }
    }
}

} // namespace fescuevane::prove

// Purpose: the clients of a run: they submit, look up and cancel jobs.
//
// Index of sections
//   1. Kinds of jobs
//   2. Calls
//   3. Answers
//   4. Systems
#include "tests/soak/soak_run.hpp"

#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"
#include "tests/soak/job_codec.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <cstdio>

namespace fescuevane::soak
{
namespace
{

constexpr std::int64_t call_deadline_ms = 3'000;
// After the deadline that the host was told.
constexpr std::int64_t answer_micros = 4'000'000;

// 1. Kinds of jobs

step_plan plan_tasks(soak_run& run, int most_tasks, std::int64_t least_ms,
                     std::int64_t most_ms)
{
    constexpr std::int64_t least_cpu = 3; // hundreds of millicores
    constexpr std::int64_t most_cpu = 15;
    constexpr std::int64_t hundred = 100;
    constexpr std::int64_t memory = 256;
    return {.count_ = static_cast<int>(draw(run, 1, most_tasks)),
            .demand_ = {draw(run, least_cpu, most_cpu) * hundred, memory, 0},
            .work_ms_ = draw(run, least_ms, most_ms)};
}

std::vector<step_plan> plan_short(soak_run& run)
{
    return {plan_tasks(run, 4, 200, 900)};
}

std::vector<step_plan> plan_long(soak_run& run)
{
    step_plan const first = plan_tasks(run, 4, 1000, 3000);
    step_plan const second = plan_tasks(run, 3, 2000, 5000);
    return {first,
            {.count_ = second.count_,
             .demand_ = second.demand_,
             .work_ms_ = second.work_ms_,
             .after_ = {0}}};
}

std::vector<step_plan> plan_gang(soak_run& run)
{
    step_plan const tasks = plan_tasks(run, 4, 500, 2500);
    return {{.count_ = tasks.count_ + 1,
             .demand_ = tasks.demand_,
             .work_ms_ = tasks.work_ms_,
             .gang_ = true}};
}

std::vector<step_plan> plan_lasting(soak_run& run)
{
    step_plan const tasks = plan_tasks(run, 3, 300, 300);
    return {{.count_ = tasks.count_,
             .demand_ = tasks.demand_,
             .work_ms_ = tasks.work_ms_,
             .perpetual_ = true}};
}

std::vector<step_plan> plan_failing(soak_run& run)
{
    step_plan const tasks = plan_tasks(run, 2, 100, 400);
    return {{.count_ = tasks.count_,
             .demand_ = tasks.demand_,
             .work_ms_ = tasks.work_ms_,
             .fails_ = true}};
}

struct job_kind
{
    int const weight_; // of 100
    std::vector<step_plan> (*const plan_)(soak_run&);
    bool const   lasting_;
    double const cancel_share_;
};

constexpr std::array<job_kind, 5> job_kinds = {{
    {58, &plan_short, false, 0.05},
    {15, &plan_long, false, 0.3},
    {15, &plan_gang, false, 0.1},
    {6, &plan_lasting, true, 1},
    {6, &plan_failing, false, 0},
}};

job_kind const& draw_kind(soak_run& run)
{
    double const share = run.options_.lasting_share_;
    if (share > 0 && chance(run, share))
    {
        return *std::find_if(job_kinds.begin(), job_kinds.end(),
                             [](job_kind const& kind)
                             {
                                 return kind.lasting_;
                             });
    }
    constexpr std::int64_t all = 100;
    auto                   rest = draw(run, 0, all - 1);
    for (job_kind const& kind : job_kinds)
    {
        if (rest < kind.weight_)
        {
            return kind;
        }
        rest -= kind.weight_;
    }
    return job_kinds.front();
}

// 2. Calls

struct call_method
{
    char const* const method_;
    call_kind const   kind_;
    void (*const answered_)(soak_run&, job_row&, call_event const&);
};

void on_submitted(soak_run& run, job_row& job, call_event const& call);
void on_looked_up(soak_run& run, job_row& job, call_event const& call);
void on_canceled(soak_run& run, job_row& job, call_event const& call);

// In the order of `call_kind`.
constexpr std::array<call_method, 3> call_methods = {{
    {"POST", call_kind::submit, &on_submitted},
    {"GET", call_kind::look_up, &on_looked_up},
    {"DELETE", call_kind::cancel, &on_canceled},
}};

std::string read_state(io::http_response const& response)
{
    auto const body = nlohmann::json::parse(response.body_, nullptr, false);
    return response.status_ == 200 && body.is_object() ? body.value("state", "")
                                                       : "";
}

void make_call(soak_run& run, std::size_t row, call_kind kind, instant now)
{
    job_row&           job = run.jobs_[row];
    call_method const& method = call_methods.at(static_cast<std::size_t>(kind));
    auto const         host =
        static_cast<std::size_t>(draw(run, 0, run.options_.hosts_ - 1));
    job_plan const& plan = run.history_.plans_.at(job.id_);
    bool const      is_final = run.asks_finally_at_ <= now;
    job.in_flight_ = true;
    run.client_.send(
        {.method_ = method.method_,
         .address_ = run.layout_.front(static_cast<int>(host)),
         .path_ = "/jobs/" + job.id_,
         .headers_ = {{"Host", "desk.example"},
                      {"Authorization", "Bearer key-" + plan.organisation_},
                      {"X-Fescuevane-Deadline-Ms",
                       std::to_string(call_deadline_ms)}},
         .body_ = kind == call_kind::submit ? encode_submission(plan) : "",
         .deadline_ = now.after(answer_micros)},
        [&run, &method, row, now, is_final, name = run.hosts_[host].name_,
         life = run.hosts_[host].life_](io::http_response const& response)
        {
            job_row& answered = run.jobs_[row];
            answered.in_flight_ = false;
            call_event const call{.began_ = now.micros(),
                                  .ended_ = io::read_clock().micros(),
                                  .kind_ = method.kind_,
                                  .host_ = name,
                                  .life_ = life,
                                  .job_ = answered.id_,
                                  .status_ = response.status_,
                                  .state_ = method.kind_ == call_kind::look_up
                                                ? read_state(response)
                                                : "",
                                  .final_ = is_final};
            run.history_.calls_.push_back(call);
            method.answered_(run, answered, call);
        });
}

// 3. Answers

instant ask_again(soak_run& run, std::int64_t least_ms, std::int64_t most_ms)
{
    return io::read_clock().after(draw(run, least_ms, most_ms) *
                                  micros_per_milli);
}

void on_submitted(soak_run& run, job_row& job, call_event const& call)
{
    constexpr int max_tries = 6;
    if (job.phase_ != job_phase::sending)
    {
        return; // a repetition of an accepted submission
    }
    if (call.status_ == 200)
    {
        job.phase_ = job_phase::accepted;
        job.next_call_at_ = ask_again(run, 300, 1500);
        return;
    }
    ++job.tries_;
    // One that is to be cancelled may run already, without an answer, and would
    // hold the organisation's limit for ever: it is sent until it is accepted.
    if (job.tries_ >= max_tries && job.cancel_at_ == instant::never())
    {
        job.phase_ = job_phase::given_up;
    }
    job.next_call_at_ = ask_again(run, 200, 1000);
}

void on_looked_up(soak_run& run, job_row& job, call_event const& call)
{
    job.next_call_at_ = ask_again(run, 300, 2000);
    if (call.state_ == "completed" || call.state_ == "failed" ||
        call.state_ == "cancelled")
    {
        job.phase_ = job_phase::ended;
        job.ended_at_ = io::read_clock();
        job.confirmed_ = job.confirmed_ || call.final_;
    }
    // A cancelled job may be unknown.
    constexpr unsigned gone = 410;
    if (call.status_ == gone && job.canceled_)
    {
        job.phase_ = job_phase::ended;
        job.ended_at_ = io::read_clock();
        job.confirmed_ = job.confirmed_ || call.final_;
    }
}

void on_canceled(soak_run& run, job_row& job, call_event const& call)
{
    constexpr unsigned gone = 410;
    job.canceled_ = call.status_ == 200 || call.status_ == gone;
    job.next_call_at_ = ask_again(run, 200, 1500);
}

// 4. Systems

// The call that is due of a job; none: the job needs no call.
bool choose_call(soak_run& run, job_row& job, instant now, call_kind& kind)
{
    if (job.in_flight_ || job.phase_ == job_phase::given_up)
    {
        return false;
    }
    if (job.phase_ != job_phase::sending && job.send_again_at_ <= now)
    {
        job.send_again_at_ = instant::never();
        kind = call_kind::submit;
        return true;
    }
    if (now < job.next_call_at_)
    {
        return false;
    }
    if (job.phase_ == job_phase::sending)
    {
        kind = call_kind::submit;
        return true;
    }
    if (job.cancel_at_ <= now && !job.canceled_ &&
        job.phase_ == job_phase::accepted)
    {
        kind = call_kind::cancel;
        return true;
    }
    kind = call_kind::look_up;
    if (job.phase_ == job_phase::accepted)
    {
        return true;
    }
    // States are kept for 120 s at least.
    constexpr std::int64_t kept_micros = 100'000'000;
    bool const             is_final = run.asks_finally_at_ <= now;
    if (is_final && job.ended_at_.after(kept_micros) < now)
    {
        job.confirmed_ = true;
    }
    return is_final && !job.confirmed_;
}

} // namespace

void submit_jobs(soak_run& run, instant now)
{
    if (now < run.next_job_at_ || run.traffic_ends_at_ <= now)
    {
        return;
    }
    auto const gap_micros = static_cast<std::int64_t>(
        2.0 * micros_per_second / run.options_.jobs_a_second_);
    run.next_job_at_ = now.after(draw(run, 1, gap_micros));
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(run.random_()));
    job_kind const& kind = draw_kind(run);
    job_row         job{.id_ = id.data(), .next_call_at_ = now};
    if (chance(run, kind.cancel_share_))
    {
        constexpr std::int64_t least_lasting_ms = 4'000;
        constexpr std::int64_t most_lasting_ms = 15'000;
        constexpr std::int64_t most_ms = 4'000;
        job.cancel_at_ = now.after(
            (kind.lasting_ ? draw(run, least_lasting_ms, most_lasting_ms)
                           : draw(run, 0, most_ms)) *
            micros_per_milli);
    }
    constexpr double again_share = 0.05;
    if (chance(run, again_share))
    {
        constexpr std::int64_t most_ms = 6'000;
        job.send_again_at_ =
            now.after(draw(run, 1, most_ms) * micros_per_milli);
    }
    std::string const organisation = chance(run, 0.4) ? "limited" : "open";
    run.history_.plans_.emplace(
        job.id_, job_plan{job.id_, organisation, kind.plan_(run)});
    run.jobs_.push_back(std::move(job));
}

void call_jobs(soak_run& run, instant now)
{
    for (std::size_t row = 0; row < run.jobs_.size(); ++row)
    {
        call_kind kind = call_kind::look_up;
        if (choose_call(run, run.jobs_[row], now, kind))
        {
            make_call(run, row, kind, now);
        }
    }
}

bool are_all_confirmed(soak_run const& run)
{
    return std::all_of(run.jobs_.begin(), run.jobs_.end(),
                       [](job_row const& job)
                       {
                           return job.phase_ == job_phase::given_up ||
                                  (job.confirmed_ && !job.in_flight_);
                       });
}

} // namespace fescuevane::soak

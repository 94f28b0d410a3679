// Purpose: the shards of a cell over a model of targets, callers and policy
// service.
//
// Index of sections
//   1. Setting
//   2. Jobs
//   3. Stop of all hosts
//   4. Targets and policy service
//   5. Orders
//   6. Ticks
#include "bench/advice_cell.hpp"

#include "plan/target_phase.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t  tick_micros = 10'000;
constexpr std::int64_t  report_micros = 1'000'000;
constexpr std::uint32_t runs_per_incarnation = 1000;
constexpr resources     capacity(16'000, 65'536, 0); // of a target
constexpr std::uint32_t rack_targets = 8;
constexpr std::uint32_t gang_percent = 8;
constexpr std::uint32_t good_percent = 45; // targets that get a ticket
constexpr std::uint32_t organisations = 8;

constexpr advice_policy policy{
    .decision_ms_ = 420, .per_target_ms_ = 6, .validity_ms_ = 2'000};

constexpr std::array<char const*, 2> queue_names = {"listings", "checks"};

} // namespace

// 1. Setting

advice_cell::advice_cell(advice_load const& load, plan::settings const& values)
    : load_(load)
    , settings_(values)
    , random_(load.seed_)
    , service_(load.seed_ + 1, load.hosts_ - load.shards_, policy)
    , shards_(load.shards_)
    , targets_(load.shards_)
{
    for (std::uint32_t shard = 0; shard < load.shards_; ++shard)
    {
        for (std::uint32_t target = 0; target < load.targets_; ++target)
        {
            targets_[shard].emplace_back("worker-" + std::to_string(shard) +
                                         "-" + std::to_string(1000 + target));
        }
        start_planner(shard, plan::target_phase::usable);
    }
}

void advice_cell::post(std::uint32_t shard, plan::event input)
{
    shard_row& row = shards_[shard];
    if (row.planner_)
    {
        plan::post_event(*row.planner_, std::move(input));
        row.needed_ = true;
    }
}

void advice_cell::start_planner(std::uint32_t shard, plan::target_phase phase)
{
    plan::settings values = settings_;
    values.run_base_ = incarnation_ * runs_per_incarnation;
    shards_[shard].planner_ = plan::make_planner(values);
    auto const queue = [](std::size_t name)
    {
        return queue_policy{.id_ = queue_id(queue_names.at(name)),
                            .service_ = service_id("desk"),
                            .priority_ = static_cast<std::int32_t>(name),
                            .max_attempts_ = 3,
                            .slack_factor_ = 1,
                            .objective_ms_ = 1'000,
                            .advice_ = policy};
    };
    post(shard, plan::queues_set{{queue(0), queue(1)}});
    std::vector<organisation_share> shares;
    for (std::uint32_t index = 0; index < organisations; ++index)
    {
        shares.push_back(
            {organisation_id("organisation-" + std::to_string(index)),
             100,
             {}});
    }
    post(shard, plan::organisations_set{std::move(shares)});
    // An equal share of the hosts that own nothing, as in a cell.
    post(shard, plan::advice_limit_changed{(load_.hosts_ - load_.shards_) /
                                           load_.shards_});
    for (std::size_t target = 0; target < targets_[shard].size(); ++target)
    {
        set_target(shard, target, phase);
    }
}

void advice_cell::set_target(std::uint32_t shard, std::size_t target,
                             plan::target_phase phase)
{
    std::string const rack = "rack-" + std::to_string(target / rack_targets);
    post(shard, plan::target_set{.id_ = targets_[shard][target],
                                 .service_ = service_id("desk"),
                                 .rack_ = rack_id(rack),
                                 .labels_ = {rack},
                                 .capacity_ = capacity,
                                 .phase_ = phase});
}

// 2. Jobs

std::uint32_t advice_cell::draw(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(random_() % bound);
}

std::uint32_t advice_cell::draw_width()
{
    struct width_range
    {
        std::uint32_t const percent_ = 0;
        std::uint32_t const least_ = 0;
        std::uint32_t const most_ = 0;
    };
    static constexpr std::array<width_range, 3> ranges = {
        {{60, 1, 4}, {25, 5, 14}, {15, 15, 30}}};
    std::uint32_t rest = draw(100);
    for (width_range const& range : ranges)
    {
        if (rest < range.percent_)
        {
            return range.least_ + draw(range.most_ - range.least_ + 1);
        }
        rest -= range.percent_;
    }
    return 1;
}

void advice_cell::submit_job()
{
    job_id const id("domain-1.0~" + std::to_string(1'000'000 + jobs_.size()));
    bool const   gang = draw(100) < gang_percent;
    std::uint32_t const width = gang ? 2 + draw(29) : draw_width();
    std::int64_t const  estimate_ms = 600 + draw(5'400);
    job_row&            job = jobs_.ensure(id);
    job.shard_ = draw(load_.shards_);
    // Gangs stay small enough for one shard: they aren't spread here.
    std::int64_t const cpu_millis = 500 + draw(gang ? 1'500 : 4'500);
    std::int64_t const memory_mib = 1'024 + draw(gang ? 7'000 : 33'000);
    job.run_micros_ = estimate_ms * (700 + draw(600));
    job.accepted_at_ = now_;
    job.spec_ = std::make_shared<staged_job const>(
        staged_job{.id_ = id,
                   .organisation_ = organisation_id(
                       "organisation-" + std::to_string(draw(organisations))),
                   .queue_ = queue_id(queue_names.at(draw(queue_names.size()))),
                   .service_ = service_id("desk"),
                   .payload_ = "work",
                   .steps_ = {{.count_ = width,
                               .demand_ = {cpu_millis, memory_mib, 0},
                               .estimate_ms_ = estimate_ms,
                               .gang_ = gang}}});
    add_job(job, false);
}

void advice_cell::add_job(job_row const& job, bool recovered)
{
    post(job.shard_, plan::job_added{.job_ = job.spec_,
                                     .progress_ = job.progress_,
                                     .accepted_at_ = job.accepted_at_,
                                     .recovered_ = recovered});
}

void advice_cell::submit_work()
{
    auto const phase =
        std::find_if(load_.arrivals_.begin(), load_.arrivals_.end(),
                     [this](arrival_phase const& each)
                     {
                         return now_ < each.until_;
                     });
    if (phase == load_.arrivals_.end())
    {
        return;
    }
    owed_jobs_ += phase->jobs_a_second_ * tick_micros / micros_per_second;
    for (; owed_jobs_ >= 1; owed_jobs_ -= 1)
    {
        submit_job();
    }
}

// 3. Stop of all hosts

void advice_cell::stop_hosts()
{
    if (now_ < load_.stop_at_ || incarnation_ > 0)
    {
        return;
    }
    ++incarnation_;
    attached_ = false;
    service_.drop_questions();
    for (job_row& job : jobs_)
    {
        if (!job.ended_)
        {
            job.stopped_ = job.started_at_ == instant::never();
            job.progress_ = plan::write_progress(*shards_[job.shard_].planner_,
                                                 job.spec_->id_);
        }
    }
    for (shard_row& shard : shards_)
    {
        shard.planner_.reset();
    }
}

void advice_cell::restart_hosts()
{
    if (now_ < load_.restart_at_ || shards_.front().planner_)
    {
        return;
    }
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard)
    {
        start_planner(shard, plan::target_phase::attaching);
    }
    for (job_row const& job : jobs_)
    {
        if (!job.ended_)
        {
            add_job(job, true);
        }
    }
}

// Targets report what runs and what has ended meanwhile before they are usable.
void advice_cell::attach_targets()
{
    if (now_ < load_.attach_at_ || attached_)
    {
        return;
    }
    attached_ = true;
    for (auto const& [key, run] : runs_)
    {
        report(key, run);
    }
    for (plan::run_ended const& end : unread_)
    {
        post(shard_of(end.run_), end);
    }
    unread_.clear();
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard)
    {
        for (std::size_t target = 0; target < targets_[shard].size(); ++target)
        {
            set_target(shard, target, plan::target_phase::usable);
        }
    }
}

// 4. Targets and policy service

std::uint32_t advice_cell::shard_of(run_key const& run) const
{
    return jobs_.find(run.stage_.job_)->shard_;
}

void advice_cell::report(run_key const& key, modelled_run const& run)
{
    std::int64_t const ran = run.started_at_.remaining_until(now_);
    std::int64_t const all = run.started_at_.remaining_until(run.ends_at_);
    post(shard_of(key), plan::run_seen{.run_ = key,
                                       .target_ = run.target_,
                                       .percent_ = static_cast<std::int32_t>(
                                           ran * 100 / (all + 1)),
                                       .load_ = 500});
}

void advice_cell::report_runs()
{
    if (now_ < report_at_ || !attached_)
    {
        return;
    }
    report_at_ = now_.after(report_micros);
    for (auto const& [key, run] : runs_)
    {
        report(key, run);
    }
}

void advice_cell::end_runs()
{
    auto const due = ends_.upper_bound(now_);
    for (auto at = ends_.begin(); at != due; ++at)
    {
        auto const run = runs_.find(at->second);
        if (run == runs_.end())
        {
            continue;
        }
        plan::run_ended const end{run->first, run->second.target_,
                                  run_end::done, ""};
        runs_.erase(run);
        if (attached_)
        {
            post(shard_of(end.run_), end);
        }
        else
        {
            unread_.push_back(end);
        }
    }
    ends_.erase(ends_.begin(), due);
}

void advice_cell::deliver_answers()
{
    for (policy_question const& question : service_.take_answered(now_))
    {
        stage_key const&                 stage = question.request_.stage_;
        std::vector<plan::target_ticket> good;
        for (target_id const& target : question.request_.targets_)
        {
            // Which targets a job may use never changes.
            std::size_t const hash = std::hash<job_id>{}(stage.job_) * 31 +
                                     std::hash<target_id>{}(target);
            if (hash % 100 < good_percent)
            {
                good.push_back({target, "ticket-" + target.str()});
            }
        }
        post(
            question.shard_,
            plan::advice_given{
                stage, question.request_.targets_, std::move(good),
                now_.after(question.request_.validity_ms_ * micros_per_milli)});
    }
}

// 5. Orders

void advice_cell::obey(std::uint32_t shard, plan::start_run const& order)
{
    job_row&      job = *jobs_.find(order.run_.stage_.job_);
    instant const end = now_.after(job.run_micros_);
    job.started_at_ = std::min(job.started_at_, now_);
    runs_.insert_or_assign(order.run_, modelled_run{order.target_, now_, end});
    ends_.emplace(end, order.run_);
    post(shard, plan::run_confirmed{order.run_, order.target_});
}

void advice_cell::obey(std::uint32_t shard, plan::stop_run const& order)
{
    if (runs_.erase(order.run_) > 0)
    {
        post(shard,
             plan::run_ended{order.run_, order.target_, run_end::stopped, ""});
    }
}

void advice_cell::obey(std::uint32_t shard, plan::advice_request const& order)
{
    service_.ask(shard, order, now_);
}

void advice_cell::obey(std::uint32_t shard, plan::job_changed const& order)
{
    job_row&   job = *jobs_.find(order.id_);
    auto const phase = plan::find_phase(*shards_[shard].planner_, order.id_);
    if (!job.ended_ && phase && is_final(*phase))
    {
        job.ended_ = true;
        post(shard, plan::job_dropped{order.id_});
    }
}

// 6. Ticks

void advice_cell::run_planners()
{
    std::vector<plan::command> orders;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard)
    {
        shard_row& row = shards_[shard];
        if (!row.planner_ ||
            (!row.needed_ && plan::next_deadline(*row.planner_) > now_))
        {
            continue;
        }
        row.needed_ = false;
        orders.clear();
        plan::run_tick(*row.planner_, now_, now_.micros() / micros_per_milli,
                       orders);
        for (plan::command const& order : orders)
        {
            std::visit(
                [&](auto const& value)
                {
                    obey(shard, value);
                },
                order);
        }
    }
}

std::span<advice_cell::system_entry const> advice_cell::list_systems()
{
    static constexpr std::array<system_entry, 8> systems = {
        {{&advice_cell::stop_hosts},
         {&advice_cell::restart_hosts},
         {&advice_cell::attach_targets},
         {&advice_cell::submit_work},
         {&advice_cell::deliver_answers},
         {&advice_cell::end_runs},
         {&advice_cell::report_runs},
         {&advice_cell::run_planners}}};
    return systems;
}

void advice_cell::step()
{
    now_ = now_.after(tick_micros);
    for (system_entry const& system : list_systems())
    {
        (this->*system.run_)();
    }
}

std::vector<step_wait> advice_cell::list_waits() const
{
    std::vector<step_wait> waits;
    for (job_row const& job : jobs_)
    {
        step_spec const& step = job.spec_->steps_.front();
        instant const    until = std::min(job.started_at_, now_);
        waits.push_back(
            {.width_ = step.count_,
             .gang_ = step.gang_,
             .stopped_ = job.stopped_,
             .started_ = job.started_at_ != instant::never(),
             .accepted_at_ = job.accepted_at_,
             .seconds_ =
                 static_cast<double>(job.accepted_at_.remaining_until(until)) /
                 micros_per_second});
    }
    return waits;
}

double advice_cell::used_cpu() const
{
    std::int64_t used = 0;
    for (auto const& [key, run] : runs_)
    {
        used += jobs_.find(key.stage_.job_)
                    ->spec_->steps_.front()
                    .demand_.cpu_millis();
    }
    return static_cast<double>(used) /
           static_cast<double>(capacity.cpu_millis() * load_.shards_ *
                               load_.targets_);
}

} // namespace fescuevane::bench

// Purpose: a planner over a model of targets, callers and policy service.
//
// Index of sections
//   1. Setting
//   2. Jobs
//   3. Targets and policy service
//   4. Orders
//   5. Ticks
#include "bench/planner_fleet.hpp"

#include "bench/statistics.hpp"
#include "plan/load_summary.hpp"
#include "plan/overflow.hpp"
#include "plan/planner.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t tick_micros = 4'000; // least time between two ticks
constexpr std::int64_t hop_micros = 2'000;
constexpr std::int64_t report_micros = 1'000'000;
constexpr std::int64_t keep_micros = 180'000'000; // of ended jobs
// Of the work that jobs declare. Fillers use no processors of their own, so the
// measured load is lower.
constexpr double        offered_load = 1.0;
constexpr std::uint32_t good_percent = 30; // targets that get a ticket

// Beyond it nothing is submitted, so that the measure stays in a steady state.
constexpr std::int64_t waiting_tasks_a_target = 5;

constexpr std::array<char const*, 4> queue_names = {"orders", "checks",
                                                    "reports", "batch"};

} // namespace

// 1. Setting

planner_fleet::planner_fleet(std::uint64_t seed, std::uint32_t targets)
    : random_(seed)
    , planner_(plan::make_planner({}))
    , now_(1'000 * micros_per_second)
    , unix_ms_(1'000'000'000)
{
    set_queues();
    add_targets(targets);
    add_ended_jobs();
    submit_services(targets / 8 + 1);
}

std::uint32_t planner_fleet::draw(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(random_() % bound);
}

void planner_fleet::set_queues()
{
    auto const queue = [](std::size_t name, std::int32_t priority, double slack,
                          std::int64_t                 objective_ms,
                          std::optional<advice_policy> advice)
    {
        return queue_policy{.id_ = queue_id(queue_names.at(name)),
                            .service_ = service_id("desk"),
                            .priority_ = priority,
                            .max_attempts_ = 3,
                            .slack_factor_ = slack,
                            .objective_ms_ = objective_ms,
                            .advice_ = advice};
    };
    plan::post_event(
        *planner_, plan::queues_set{
                       {queue(0, 0, 1.5, 250, {}),
                        queue(1, 1, 1.5, 1'000, advice_policy{20, 0.3, 2'000}),
                        queue(2, 2, 2, 5'000, advice_policy{200, 3, 3'000}),
                        queue(3, 3, 4, 30'000, {})}});
    std::vector<organisation_share> shares;
    shares.reserve(8);
    for (int organisation = 0; organisation < 8; ++organisation)
    {
        shares.push_back(
            {organisation_id("organisation-" + std::to_string(organisation)),
             100,
             {}});
    }
    plan::post_event(*planner_, plan::organisations_set{std::move(shares)});
}

void planner_fleet::add_targets(std::uint32_t count)
{
    for (std::uint32_t target = 0; target < count; ++target)
    {
        std::int64_t const       cores = std::int64_t(4) << draw(4); // 4 to 32
        std::string const        rack = "rack-" + std::to_string(target / 8);
        std::vector<std::string> labels = {rack, "zone-a"};
        if (target % 4 == 0)
        {
            labels.emplace_back("fast-disk");
        }
        if (target % 3 == 0)
        {
            labels.emplace_back("licensed");
        }
        resources const capacity(cores * 1000, cores * 4096, 0);
        targets_.emplace_back("worker-" + std::to_string(1000 + target));
        capacity_ = capacity_ + capacity;
        plan::post_event(
            *planner_, plan::target_set{.id_ = targets_.back(),
                                        .service_ = service_id("desk"),
                                        .rack_ = rack_id(rack),
                                        .labels_ = labels,
                                        .capacity_ = capacity,
                                        .phase_ = plan::target_phase::usable});
    }
}

// Jobs that ended before; they are kept like those of the measure.
void planner_fleet::add_ended_jobs()
{
    std::size_t const count = targets_.size() * 10;
    for (std::size_t job = 0; job < count; ++job)
    {
        job_id const id("domain-1.0~ended-" + std::to_string(100'000 + job));
        std::vector<step_spec> steps;
        steps.push_back(make_step(0, 2'000));
        plan::post_event(
            *planner_,
            plan::job_added{
                .job_ = std::make_shared<staged_job const>(staged_job{
                    .id_ = id,
                    .organisation_ = organisation_id("organisation-0"),
                    .queue_ = queue_id("orders"),
                    .service_ = service_id("desk"),
                    .steps_ = std::move(steps)}),
                .progress_ = {.phase_ = job_phase::completed},
                .accepted_at_ = now_});
        ended_.emplace_back(
            now_.after(keep_micros * static_cast<std::int64_t>(job + 1) /
                       static_cast<std::int64_t>(count)),
            id);
    }
}

// 2. Jobs

step_spec planner_fleet::make_step(std::uint32_t step, std::int64_t estimate_ms)
{
    static constexpr std::array<std::int64_t, 4> cpu_millis = {500, 750, 1000,
                                                               2000};
    std::uint32_t const                          kind = draw(100);
    std::uint32_t const                          label = draw(100);
    bool const                                   gang = kind < 10;
    return {.count_ = gang ? 6 : 6 + draw(9),
            .demand_ = {cpu_millis.at(draw(4)),
                        512 * (1 + std::int64_t(draw(4))), 0},
            .estimate_ms_ = estimate_ms,
            .after_ = step == 0 ? std::vector<std::uint32_t>()
                                : std::vector<std::uint32_t>{step - 1},
            .checkpointing_ = draw(100) < 30,
            .gang_ = gang,
            .same_rack_ = gang && draw(2) == 0,
            .speculative_ = !gang && kind < 25,
            .filler_ = kind >= 95,
            .required_label_ = label < 8    ? "fast-disk"
                               : label < 16 ? "licensed"
                                            : "",
            .near_rack_ = draw(100) < 15 ? rack_id("rack-1") : rack_id(),
            .spread_limit_ = !gang && kind < 45 ? 1 + draw(3) : 0,
            .image_ = draw(100) < 40 ? "image-" + std::to_string(draw(12)) : "",
            .max_unavailable_ = 1};
}

void planner_fleet::submit(std::vector<step_spec> steps, char const* queue)
{
    // As long as the names that the entry gives.
    job_id const id("domain-1.0~0000000000000" +
                    std::to_string(100'000 + next_job_++));
    plan::post_event(
        *planner_,
        plan::job_added{.job_ = std::make_shared<staged_job const>(staged_job{
                            .id_ = id,
                            .organisation_ = organisation_id(
                                "organisation-" + std::to_string(draw(8))),
                            .queue_ = queue_id(queue),
                            .service_ = service_id("desk"),
                            .payload_ = "work",
                            .steps_ = std::move(steps)}),
                        .accepted_at_ = now_});
}

void planner_fleet::submit_work()
{
    static constexpr std::array<std::size_t, 10> shares = {0, 0, 0, 0, 0,
                                                           1, 1, 1, 2, 3};
    std::uint32_t const                          count = 1 + draw(4);
    std::int64_t const     estimate_ms = 2'000 + draw(8'000);
    std::vector<step_spec> steps;
    for (std::uint32_t step = 0; step < count; ++step)
    {
        steps.push_back(make_step(step, estimate_ms));
        owed_ -= static_cast<double>(steps.back().demand_.cpu_millis() *
                                     steps.back().count_ * estimate_ms);
    }
    submit(std::move(steps), queue_names.at(shares.at(draw(10))));
}

void planner_fleet::submit_services(std::uint32_t count)
{
    for (std::uint32_t job = 0; job < count; ++job)
    {
        submit({{.count_ = 4,
                 .demand_ = {500, 512, 0},
                 .perpetual_ = true,
                 .spread_limit_ = 1,
                 .latency_target_ms_ = 100,
                 .max_unavailable_ = 1}},
               queue_names[0]);
    }
}

// 3. Targets and policy service

void planner_fleet::schedule(std::int64_t micros,
                             void (planner_fleet::*run)(run_key const&),
                             run_key const& key)
{
    actions_.emplace(now_.after(micros), action{run, key});
}

void planner_fleet::confirm(run_key const& key)
{
    auto const run = runs_.find(key);
    if (run != runs_.end())
    {
        plan::post_event(*planner_,
                         plan::run_confirmed{key, run->second.target_});
        schedule(report_micros, &planner_fleet::report, key);
    }
}

void planner_fleet::report(run_key const& key)
{
    auto const run = runs_.find(key);
    if (run == runs_.end())
    {
        return;
    }
    modelled_run const& at = run->second;
    bool const          lasting = at.ends_at_ == instant::never();
    std::int64_t const  ran = at.started_at_.remaining_until(now_);
    std::int64_t const  all =
        lasting ? 1 : at.started_at_.remaining_until(at.ends_at_);
    plan::post_event(
        *planner_,
        plan::run_seen{
            .run_ = key,
            .target_ = at.target_,
            .percent_ =
                lasting ? 0 : static_cast<std::int32_t>(ran * 100 / (all + 1)),
            .load_ = lasting ? 40 + std::int64_t(draw(80)) : 500});
    schedule(report_micros, &planner_fleet::report, key);
}

void planner_fleet::end(run_key const& key)
{
    auto const run = runs_.find(key);
    if (run != runs_.end())
    {
        plan::post_event(
            *planner_,
            plan::run_ended{key, run->second.target_,
                            draw(200) == 0 ? run_end::failed : run_end::done,
                            ""});
        runs_.erase(run);
    }
}

void planner_fleet::stop(run_key const& key)
{
    auto const run = runs_.find(key);
    if (run != runs_.end())
    {
        plan::post_event(*planner_, plan::run_ended{key, run->second.target_,
                                                    run_end::stopped, ""});
        runs_.erase(run);
    }
}

void planner_fleet::answer(plan::advice_request const& question)
{
    std::vector<plan::target_ticket> good;
    for (target_id const& target : question.targets_)
    {
        std::size_t const hash = std::hash<stage_key>{}(question.stage_) * 31 +
                                 std::hash<target_id>{}(target);
        if (hash % 100 < good_percent)
        {
            good.push_back({target, "ticket-" + target.str()});
        }
    }
    plan::post_event(*planner_,
                     plan::advice_given{
                         question.stage_, question.targets_, std::move(good),
                         now_.after(question.validity_ms_ * micros_per_milli)});
}

// 4. Orders

void planner_fleet::add_to_checksum(std::string const& text)
{
    constexpr std::uint64_t prime = 0x100000001b3; // of FNV-1a
    for (char const byte : text)
    {
        checksum_ = (checksum_ ^ static_cast<unsigned char>(byte)) * prime;
    }
}

namespace
{

std::string write_run(char const* order, run_key const& run,
                      target_id const& target)
{
    return order + run.stage_.job_.str() + '/' +
           std::to_string(run.stage_.step_) + '/' + std::to_string(run.index_) +
           '/' + std::to_string(run.run_) + '/' + target.str();
}

} // namespace

void planner_fleet::obey(plan::start_run const& order)
{
    add_to_checksum(write_run("start", order.run_, order.target_));
    step_spec const&   step = order.job_->steps_[order.run_.stage_.step_];
    std::int64_t const estimate = step.estimate_ms_ * micros_per_milli;
    // One run of thirty is far slower than the others.
    std::int64_t const micros =
        (draw(30) == 0 ? 4 : 1) *
        (estimate * 7 / 10 + estimate * draw(1000) * 6 / 10'000);
    runs_[order.run_] = {order.target_, now_,
                         step.perpetual_ ? instant::never()
                                         : now_.after(micros)};
    schedule(hop_micros, &planner_fleet::confirm, order.run_);
    if (!step.perpetual_)
    {
        schedule(micros, &planner_fleet::end, order.run_);
    }
}

void planner_fleet::obey(plan::stop_run const& order)
{
    add_to_checksum(write_run("stop", order.run_, order.target_));
    schedule(hop_micros, &planner_fleet::stop, order.run_);
}

void planner_fleet::obey(plan::pace_run const& order)
{
    add_to_checksum(write_run("pace", order.run_, order.target_) + '/' +
                    std::to_string(order.percent_));
}

void planner_fleet::obey(plan::advice_request const& order)
{
    add_to_checksum(write_run("ask", {order.stage_, 0, 0}, {}));
    for (target_id const& target : order.targets_)
    {
        add_to_checksum(target.str());
    }
    job_id const&       job = order.stage_.job_;
    advice_policy const policy =
        *planner_->queues_.find(planner_->jobs_.find(job)->spec_->queue_)
             ->advice_;
    questions_.emplace(now_.after(static_cast<std::int64_t>(
                           (policy.decision_ms_ +
                            policy.per_target_ms_ *
                                static_cast<double>(order.targets_.size())) *
                           micros_per_milli)),
                       order);
}

void planner_fleet::obey(plan::job_changed const& order)
{
    add_to_checksum("changed" + order.id_.str());
    if (is_final(*plan::find_phase(*planner_, order.id_)))
    {
        ended_.emplace_back(now_.after(keep_micros), order.id_);
    }
}

void planner_fleet::obey(plan::note const& order)
{
    add_to_checksum(write_run(order.what_.c_str(), order.run_, order.target_) +
                    order.why_);
}

// No other shard offers jobs to the fleet.
void planner_fleet::obey(plan::answer_offer const& /*order*/) {}

// 5. Ticks

planner_sample planner_fleet::tick()
{
    std::vector<double>        micros;
    std::vector<plan::command> orders;
    plan::begin_tick(*planner_, now_, unix_ms_);
    for (plan::system_entry const& system : plan::list_systems())
    {
        double const before = read_processor_micros();
        system.run_(*planner_);
        micros.push_back(read_processor_micros() - before);
    }
    plan::end_tick(*planner_, orders);
    std::uint32_t starts = 0;
    for (plan::command const& order : orders)
    {
        starts += std::holds_alternative<plan::start_run>(order) ? 1 : 0;
        std::visit(
            [this](auto const& value)
            {
                obey(value);
            },
            order);
    }
    double all = 0;
    for (double const system : micros)
    {
        all += system;
    }
    return {std::move(micros), all, starts};
}

planner_sample planner_fleet::step(bool submitting)
{
    now_ = now_.after(tick_micros);
    unix_ms_ += tick_micros / micros_per_milli;
    while (!actions_.empty() && actions_.begin()->first <= now_)
    {
        action const due = actions_.begin()->second;
        actions_.erase(actions_.begin());
        (this->*due.run_)(due.key_);
    }
    while (!questions_.empty() && questions_.begin()->first <= now_)
    {
        answer(questions_.begin()->second);
        questions_.erase(questions_.begin());
    }
    while (!ended_.empty() && ended_.front().first <= now_)
    {
        plan::post_event(*planner_, plan::job_dropped{ended_.front().second});
        ended_.pop_front();
    }
    owed_ += offered_load * static_cast<double>(capacity_.cpu_millis()) *
             tick_micros / micros_per_milli;
    while (submitting && owed_ > 0)
    {
        if (count_waiting() >
            waiting_tasks_a_target * static_cast<std::int64_t>(targets_.size()))
        {
            owed_ = 0;
            break;
        }
        submit_work();
    }
    return tick();
}

planner_sample planner_fleet::step_idle()
{
    now_ = now_.after(tick_micros);
    unix_ms_ += tick_micros / micros_per_milli;
    return tick();
}

void planner_fleet::summarize() const
{
    plan::summarize_load(*planner_);
    plan::list_overflow(*planner_, now_, 0);
}

std::size_t planner_fleet::count_open_stages() const
{
    return planner_->stages_.size();
}

std::size_t planner_fleet::count_jobs() const
{
    return planner_->jobs_.size();
}

std::int64_t planner_fleet::count_waiting() const
{
    std::int64_t waiting = 0;
    for (plan::stage_row const& stage : planner_->stages_)
    {
        waiting += stage.startable_ ? plan::count_waiting(stage) : 0;
    }
    return waiting;
}

double planner_fleet::load() const
{
    resources used;
    for (plan::target_row const& target : planner_->targets_)
    {
        used = used + target.used_;
    }
    return static_cast<double>(used.cpu_millis()) /
           static_cast<double>(capacity_.cpu_millis());
}

} // namespace fescuevane::bench

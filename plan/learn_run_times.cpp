// Purpose: system: merges the run times that this and other shards learnt, and
// estimates those of steps and stages.
#include "plan/learn_run_times.hpp"

#include "plan/job_flow.hpp"
#include "plan/plan.hpp"
#include "plan/planner.hpp"

#include <algorithm>
#include <cmath>

namespace fescuevane::plan
{
namespace
{

// Estimates change slowly, while a merge visits all rows and runs.
constexpr std::int64_t merge_micros = 2'000'000;

// Targets below this speed are slow rather than their tasks long. Higher
// figures are within the noise of the speed, which is learnt from few runs.
constexpr double slow_speed = 0.6;

// Weight of the model against the ended tasks of a stage. The first tasks that
// end are the shortest ones, so few of them prove little.
constexpr double model_stage_samples = 2;

run_time_key key_of(job_row const& job, step_spec const& step)
{
    return {job.spec_->organisation_, job.spec_->queue_, image_of(job, step)};
}

double scale_to_mean_speed(planner const& context, target_id const& id,
                           double ran_ms)
{
    target_row const* const target = context.targets_.find(id);
    return target != nullptr && target->speed_ < slow_speed
               ? ran_ms * target->speed_
               : ran_ms;
}

// Runs whose start and progress are known.
std::vector<run_time_sample> list_running(planner const& context)
{
    std::vector<run_time_sample> running;
    for (std::size_t row = 0; row < context.runs_.size(); ++row)
    {
        run_row const&          run = context.runs_[row];
        stage_key const&        stage = context.runs_.key(row).stage_;
        job_row const* const    job = context.jobs_.find(stage.job_);
        target_row const* const target = context.targets_.find(run.target_);
        if (run.phase_ != run_phase::running || !is_sample(run) ||
            job == nullptr || target == nullptr ||
            target->phase_ == target_phase::silent ||
            job->spec_->steps_[stage.step_].perpetual_)
        {
            continue;
        }
        step_spec const& step = job->spec_->steps_[stage.step_];
        double const     ran_ms =
            static_cast<double>(run.started_at_.remaining_until(context.now_)) /
            micros_per_milli;
        running.push_back({key_of(*job, step), declared_ms(step),
                           scale_to_mean_speed(context, run.target_, ran_ms)});
    }
    return running;
}

} // namespace

bool uses_shared_run_times(planner const& context)
{
    return context.settings_.run_time_model_ == run_time_model::shared;
}

void merge_learnt(planner& context)
{
    if (!uses_shared_run_times(context) || context.merge_at_ > context.now_)
    {
        return;
    }
    context.merge_at_ = context.now_.after(merge_micros);
    merge_run_times(context.run_times_, list_running(context),
                    context.unix_ms_);
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_key const& key = context.stages_.key(row);
        context.stages_[row].model_ =
            estimate_step(context, *context.jobs_.find(key.job_), key.step_);
    }
}

void learn_from_run(planner& context, run_key const& key, run_row const& run,
                    double ran_ms)
{
    if (!uses_shared_run_times(context))
    {
        return;
    }
    job_row const&   job = *context.jobs_.find(key.stage_.job_);
    step_spec const& step = job.spec_->steps_[key.stage_.step_];
    stage_row const& stage = *context.stages_.find(key.stage_);
    double const scaled_ms = scale_to_mean_speed(context, run.target_, ran_ms);
    image_row const* const image = context.images_.find(run.image_);
    double const           local_ms = image == nullptr
                                          ? declared_ms(step)
                                          : predict_ms(*image, declared_ms(step));
    auto const             error_of = [ran_ms](double estimate_ms)
    {
        return std::abs(
            std::log(std::max(1.0, estimate_ms) / std::max(1.0, ran_ms)));
    };
    run_time_errors& errors = context.run_time_errors_;
    ++errors.runs_;
    errors.declared_ += error_of(declared_ms(step));
    errors.local_ += error_of(local_ms);
    errors.learnt_ +=
        error_of(estimate_step(context, job, key.stage_.step_).median_ms_);
    errors.local_stage_ +=
        error_of(stage.samples_ > 0 ? stage.ran_ms_ : local_ms);
    errors.learnt_stage_ +=
        error_of(estimate_stage(context, key.stage_).median_ms_);
    learn_run_time(context.run_times_,
                   {key_of(job, step), declared_ms(step), scaled_ms},
                   context.unix_ms_);
}

run_time_estimate estimate_step(planner const& context, job_row const& job,
                                std::uint32_t step)
{
    step_spec const& spec = job.spec_->steps_[step];
    return estimate_run_time(context.run_times_, key_of(job, spec),
                             declared_ms(spec));
}

run_time_estimate estimate_stage(planner const& context, stage_key const& key)
{
    stage_row const* const  stage = context.stages_.find(key);
    run_time_estimate const model =
        stage != nullptr && stage->model_.median_ms_ > 0
            ? stage->model_
            : estimate_step(context, *context.jobs_.find(key.job_), key.step_);
    if (stage == nullptr || stage->samples_ <= 0)
    {
        return model;
    }
    double const share =
        stage->samples_ / (stage->samples_ + model_stage_samples);
    double const factor = std::pow(
        std::exp(stage->log_ran_ / stage->samples_) / model.median_ms_, share);
    return {.median_ms_ = model.median_ms_ * factor,
            .high_ms_ = model.high_ms_ * factor,
            // The model has most of the stage's ended tasks too.
            .samples_ = std::max(model.samples_, stage->samples_)};
}

std::vector<run_time_row> list_run_times(planner const& context)
{
    return list_own_run_times(context.run_times_);
}

run_time_errors sum_run_time_errors(planner const& context)
{
    return context.run_time_errors_;
}

} // namespace fescuevane::plan

// Purpose: values of a cell to and from messages between hosts.
#include "peer/peer_codec.hpp"

#include "cell.pb.h"
#include "cell/advice_reply.hpp"
#include "cell/heartbeat.hpp"
#include "cell/job_answer.hpp"
#include "cell/job_call.hpp"
#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "cell/send_question.hpp"
#include "peer/peer_error.hpp"

#include <algorithm>

namespace fescuevane::peer
{
namespace
{

// Above any wait of a host that works; bounds what a faulty sender can report.
constexpr std::int64_t max_advice_wait_micros = 60'000'000;

void write_amounts(resources const& from, cell::v1::Amounts& to)
{
    to.set_cpu_millis(from.cpu_millis());
    to.set_memory_mib(from.memory_mib());
    to.set_accelerators(from.accelerators());
}

resources read_amounts(cell::v1::Amounts const& from)
{
    return {from.cpu_millis(), from.memory_mib(), from.accelerators()};
}

std::optional<plan::limit_claim>
read_claim(cell::v1::OrganisationLoad const& from)
{
    if (!from.has_claim())
    {
        return std::nullopt;
    }
    return plan::limit_claim{read_amounts(from.claim().demand()),
                             from.claim().since_unix_ms()};
}

shard_id read_shard(std::string const& name)
{
    try
    {
        return cell::read_shard_name(name);
    }
    catch (cell::record_error const& error)
    {
        throw peer_error(error.what());
    }
}

void write_run_times(plan::run_time_row const& row, cell::v1::RunTimes& message)
{
    plan::run_time_sums const& sums = row.sums_;
    message.set_organisation(row.key_.organisation_.str());
    message.set_queue(row.key_.queue_.str());
    message.set_image(row.key_.image_);
    message.set_learnt_unix_ms(row.learnt_unix_ms_);
    message.set_weight(static_cast<float>(sums.weight_));
    message.set_x(static_cast<float>(sums.x_));
    message.set_y(static_cast<float>(sums.y_));
    message.set_xx(static_cast<float>(sums.xx_));
    message.set_xy(static_cast<float>(sums.xy_));
    message.set_yy(static_cast<float>(sums.yy_));
    message.set_tail_weight(static_cast<float>(sums.tail_weight_));
    message.set_tail_excess(static_cast<float>(sums.tail_excess_));
}

plan::run_time_row read_run_times(cell::v1::RunTimes const& message)
{
    return {.key_ = {organisation_id(message.organisation()),
                     queue_id(message.queue()), message.image()},
            .sums_ = {message.weight(), message.x(), message.y(), message.xx(),
                      message.xy(), message.yy(), message.tail_weight(),
                      message.tail_excess()},
            .learnt_unix_ms_ = message.learnt_unix_ms()};
}

} // namespace

cell::v1::Heartbeat encode_heartbeat(cell::heartbeat const& beat)
{
    cell::v1::Heartbeat message;
    message.set_host(beat.host_.str());
    message.set_incarnation(beat.incarnation_);
    message.set_store_ok(beat.store_ok_);
    message.set_stopping(beat.stopping_);
    message.set_config_version(beat.config_version_);
    if (beat.advice_wait_micros_)
    {
        message.set_advice_wait_micros(*beat.advice_wait_micros_);
    }
    for (auto const& [organisation, limit] : beat.limits_)
    {
        cell::v1::OrganisationLimit& entry = *message.add_limits();
        entry.set_organisation(organisation.str());
        write_amounts(limit, *entry.mutable_limit());
    }
    for (cell::shard_load const& shard : beat.shards_)
    {
        cell::v1::ShardLoad& row = *message.add_shards();
        row.set_shard(cell::write_shard_name(shard.shard_));
        row.set_epoch(shard.epoch_);
        row.set_serving(shard.serving_);
        if (shard.wanted_requests_)
        {
            row.set_wanted_requests(*shard.wanted_requests_);
        }
        for (plan::run_time_row const& learnt : shard.run_times_)
        {
            write_run_times(learnt, *row.add_run_times());
        }
        write_amounts(shard.load_.capacity_, *row.mutable_capacity());
        write_amounts(shard.load_.used_, *row.mutable_used());
        write_amounts(shard.load_.queued_, *row.mutable_queued());
        if (!shard.load_.freed_a_second_.is_zero())
        {
            write_amounts(shard.load_.freed_a_second_,
                          *row.mutable_freed_a_second());
        }
        for (plan::queue_load const& queue : shard.load_.queues_)
        {
            cell::v1::QueueLoad& entry = *row.add_queues();
            entry.set_queue(queue.queue_.str());
            entry.set_waiting(queue.waiting_);
        }
        for (plan::organisation_load const& load : shard.load_.organisations_)
        {
            cell::v1::OrganisationLoad& entry = *row.add_organisations();
            entry.set_organisation(load.organisation_.str());
            write_amounts(load.used_, *entry.mutable_used());
            write_amounts(load.queued_, *entry.mutable_queued());
            entry.set_part(load.part_);
            if (!load.unconfirmed_.is_zero())
            {
                write_amounts(load.unconfirmed_, *entry.mutable_unconfirmed());
            }
            if (load.claim_)
            {
                cell::v1::LimitClaim& claim = *entry.mutable_claim();
                write_amounts(load.claim_->demand_, *claim.mutable_demand());
                claim.set_since_unix_ms(load.claim_->since_unix_ms_);
            }
        }
    }
    return message;
}

cell::heartbeat decode_heartbeat(cell::v1::Heartbeat const& message)
{
    cell::heartbeat beat{.host_ = host_id(message.host()),
                         .incarnation_ = message.incarnation(),
                         .store_ok_ = message.store_ok(),
                         .stopping_ = message.stopping(),
                         .config_version_ = message.config_version()};
    if (message.has_advice_wait_micros())
    {
        beat.advice_wait_micros_ = std::clamp<std::int64_t>(
            message.advice_wait_micros(), 0, max_advice_wait_micros);
    }
    for (cell::v1::OrganisationLimit const& entry : message.limits())
    {
        beat.limits_.emplace(organisation_id(entry.organisation()),
                             read_amounts(entry.limit()));
    }
    for (cell::v1::ShardLoad const& row : message.shards())
    {
        cell::shard_load shard{.shard_ = read_shard(row.shard()),
                               .epoch_ = row.epoch(),
                               .serving_ = row.serving()};
        if (row.has_wanted_requests())
        {
            shard.wanted_requests_ = row.wanted_requests();
        }
        for (cell::v1::RunTimes const& learnt : row.run_times())
        {
            shard.run_times_.push_back(read_run_times(learnt));
        }
        shard.load_.capacity_ = read_amounts(row.capacity());
        shard.load_.used_ = read_amounts(row.used());
        shard.load_.queued_ = read_amounts(row.queued());
        shard.load_.freed_a_second_ = read_amounts(row.freed_a_second());
        for (cell::v1::QueueLoad const& entry : row.queues())
        {
            shard.load_.queues_.push_back(
                {queue_id(entry.queue()), entry.waiting()});
        }
        for (cell::v1::OrganisationLoad const& entry : row.organisations())
        {
            shard.load_.organisations_.push_back(
                {.organisation_ = organisation_id(entry.organisation()),
                 .used_ = read_amounts(entry.used()),
                 .queued_ = read_amounts(entry.queued()),
                 .claim_ = read_claim(entry),
                 .unconfirmed_ = read_amounts(entry.unconfirmed()),
                 .part_ = entry.part()});
        }
        beat.shards_.push_back(std::move(shard));
    }
    return beat;
}

cell::v1::JobCall encode_call(cell::job_call const& call, instant now)
{
    cell::v1::JobCall message;
    message.set_kind(static_cast<cell::v1::CallKind>(call.kind_));
    message.set_job(call.id_.str());
    message.set_shard(cell::write_shard_name(call.shard_));
    if (call.job_)
    {
        message.set_specification(cell::write_spec(*call.job_));
    }
    message.set_remaining_micros(now.remaining_until(call.deadline_));
    return message;
}

cell::job_call decode_call(cell::v1::JobCall const& message, instant now)
{
    if (message.kind() < 0 || message.kind() > cell::v1::CANCEL_ABSENT)
    {
        throw peer_error("kind of a call: " + std::to_string(message.kind()));
    }
    auto const kind = static_cast<cell::call_kind>(message.kind());
    std::shared_ptr<staged_job const> job;
    if (kind == cell::call_kind::submit || kind == cell::call_kind::offer)
    {
        try
        {
            job = cell::read_spec(message.specification());
        }
        catch (cell::record_error const& error)
        {
            throw peer_error(error.what());
        }
    }
    return {.kind_ = kind,
            .id_ = job_id(message.job()),
            .shard_ = read_shard(message.shard()),
            .job_ = std::move(job),
            .deadline_ = now.after(message.remaining_micros())};
}

cell::v1::JobAnswer encode_answer(cell::job_answer const& answer)
{
    cell::v1::JobAnswer message;
    message.set_outcome(static_cast<std::uint32_t>(answer.outcome_));
    message.set_phase(static_cast<std::uint32_t>(answer.phase_));
    message.set_retry_after_ms(answer.retry_after_ms_);
    message.set_fit_now(answer.fit_now_);
    message.set_fit_later(answer.fit_later_);
    message.set_fit_free(answer.fit_free_);
    message.set_unknown(answer.unknown_);
    return message;
}

cell::job_answer decode_answer(cell::v1::JobAnswer const& message)
{
    if (message.outcome() >
            static_cast<std::uint32_t>(cell::job_outcome::withdrawn) ||
        message.phase() > static_cast<std::uint32_t>(job_phase::canceled))
    {
        throw peer_error("outcome of a call: " +
                         std::to_string(message.outcome()));
    }
    return {.outcome_ = static_cast<cell::job_outcome>(message.outcome()),
            .phase_ = static_cast<job_phase>(message.phase()),
            .retry_after_ms_ = message.retry_after_ms(),
            .fit_now_ = message.fit_now(),
            .fit_later_ = message.fit_later(),
            .fit_free_ = message.fit_free(),
            .unknown_ = message.unknown()};
}

cell::v1::AdviceCall encode_question(cell::send_question const& question,
                                     instant                    now)
{
    cell::v1::AdviceCall message;
    stage_key const&     stage = question.question_.stage_;
    message.set_job(stage.job_.str());
    message.set_occurrence(stage.occurrence_);
    message.set_step(stage.step_);
    for (target_id const& target : question.question_.targets_)
    {
        message.add_targets(target.str());
    }
    message.set_remaining_micros(now.remaining_until(question.deadline_));
    message.set_service_micros(question.service_micros_);
    return message;
}

cell::send_question decode_question(cell::v1::AdviceCall const& message,
                                    instant                     now)
{
    std::vector<target_id> targets;
    for (std::string const& target : message.targets())
    {
        targets.emplace_back(target);
    }
    return {.question_ = {.stage_ = {job_id(message.job()),
                                     message.occurrence(), message.step()},
                          .targets_ = std::move(targets)},
            .deadline_ = now.after(std::clamp<std::int64_t>(
                message.remaining_micros(), 0, 2 * max_advice_wait_micros)),
            .service_micros_ = std::clamp<std::int64_t>(
                message.service_micros(), 0, max_advice_wait_micros)};
}

cell::v1::AdviceAnswer encode_advice(cell::advice_reply const& answer)
{
    cell::v1::AdviceAnswer message;
    message.set_answered(answer.answered_);
    for (plan::target_ticket const& good : answer.good_)
    {
        cell::v1::Ticket& row = *message.add_good();
        row.set_target(good.target_.str());
        row.set_ticket(good.ticket_);
    }
    return message;
}

cell::advice_reply decode_advice(std::uint64_t                 request,
                                 cell::v1::AdviceAnswer const& message)
{
    std::vector<plan::target_ticket> good;
    for (cell::v1::Ticket const& row : message.good())
    {
        good.push_back({target_id(row.target()), row.ticket()});
    }
    return {.request_ = request,
            .answered_ = message.answered(),
            .good_ = std::move(good),
            .error_ = message.answered() ? "" : "the asking host got none"};
}

} // namespace fescuevane::peer

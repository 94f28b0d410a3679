// Purpose: refuses submissions that their shard can't serve in time.
#include "cell/node.hpp"

#include "cell/records.hpp"
#include "plan/admission.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace fescuevane::cell
{
namespace
{

// In the order of `job_outlook`.
constexpr std::array<char const*, 4> refusal_events = {
    "job_refused", "job_refused_late", "job_refused_worthless",
    "job_refused_lasting"};

// A write of the job by another owner that got no reply may be performed later,
// and then a refusal is untrue. So jobs are refused only while all hosts reach
// the store and it replies in time.
bool may_refuse(node const& context)
{
    return context.store_ok_ &&
           context.store_micros_ <= context.settings_.store_min_micros_ &&
           std::all_of(context.hosts_.begin(), context.hosts_.end(),
                       [](host_row const& host)
                       {
                           return host.store_ok_;
                       });
}

std::int64_t round_up_ms(std::int64_t micros)
{
    return (micros + micros_per_milli - 1) / micros_per_milli;
}

} // namespace

std::optional<job_answer> refuse_for_load(node& context, job_call const& call)
{
    if (context.settings_.plan_.admission_ == plan::admission_level::off ||
        !may_refuse(context))
    {
        return std::nullopt;
    }
    bool const promises = find_return_shard(context, call.id_) == call.shard_;
    plan::admission const decision =
        plan::admit_job(*context.owned_.find(call.shard_)->planner_, call.job_,
                        context.now_, promises);
    if (decision.promise_kept_)
    {
        log_event(context,
                  decision.accepted_ ? "return_accepted" : "return_refused",
                  {{"job", call.id_.str()},
                   {"shard", write_shard_name(call.shard_)}});
    }
    if (decision.accepted_)
    {
        return std::nullopt;
    }
    std::int64_t const retry_after_ms = std::max<std::int64_t>(
        1, round_up_ms(context.now_.remaining_until(decision.return_at_)));
    log_event(context,
              refusal_events.at(static_cast<std::size_t>(decision.outlook_)),
              {{"job", call.id_.str()},
               {"organisation", call.job_->organisation_.str()},
               {"queue", call.job_->queue_.str()},
               {"shard", write_shard_name(call.shard_)},
               {"retry_after_ms", std::to_string(retry_after_ms)},
               {"promised", promises ? "true" : "false"}});
    return job_answer{.outcome_ = job_outcome::overloaded,
                      .retry_after_ms_ = retry_after_ms};
}

} // namespace fescuevane::cell

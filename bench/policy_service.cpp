// Purpose: model of the policy service.
#include "bench/policy_service.hpp"

#include <algorithm>

namespace fescuevane::bench
{
namespace
{

// Factors of the time that the policy states, in percent: 0.4 s for a question
// about one target up to 0.9 s for one about 30 with a decision time of 420 ms
// and 6 ms a target.
constexpr std::uint64_t min_percent = 95;
constexpr std::uint64_t max_percent = 150;

} // namespace

policy_service::policy_service(std::uint64_t seed, std::uint32_t hosts,
                               advice_policy const& policy)
    : random_(seed), policy_(policy), free_at_(hosts)
{
}

// An owner knows its own questions only: it avoids the hosts that it uses, but
// may choose one that another owner uses.
std::uint32_t policy_service::choose_host(std::uint32_t shard)
{
    std::vector<std::uint32_t> used(free_at_.size());
    for (auto const& [at, question] : questions_)
    {
        used[question.host_] += question.shard_ == shard ? 1 : 0;
    }
    std::uint32_t const least = *std::min_element(used.begin(), used.end());
    auto const          choices =
        static_cast<std::uint64_t>(std::count(used.begin(), used.end(), least));
    std::uint64_t skipped = random_() % choices;
    std::uint32_t host = 0;
    while (used[host] != least || skipped-- > 0)
    {
        ++host;
    }
    return host;
}

std::int64_t policy_service::draw_micros(std::size_t targets)
{
    std::uint64_t const percent =
        min_percent + random_() % (max_percent - min_percent + 1);
    return expect_reply_micros(policy_, targets) *
           static_cast<std::int64_t>(percent) / 100;
}

void policy_service::ask(std::uint32_t               shard,
                         plan::advice_request const& request, instant now)
{
    std::uint32_t const host = choose_host(shard);
    instant const       end = std::max(now, free_at_[host])
                            .after(draw_micros(request.targets_.size()));
    free_at_[host] = end;
    questions_.emplace(end, policy_question{shard, host, request});
}

std::vector<policy_question> policy_service::take_answered(instant now)
{
    std::vector<policy_question> answered;
    auto const                   end = questions_.upper_bound(now);
    for (auto at = questions_.begin(); at != end; ++at)
    {
        answered.push_back(at->second);
    }
    questions_.erase(questions_.begin(), end);
    answered_ += answered.size();
    return answered;
}

void policy_service::drop_questions()
{
    questions_.clear();
    std::fill(free_at_.begin(), free_at_.end(), instant());
}

} // namespace fescuevane::bench

// Purpose: model of the policy service, which handles one question of each host
// at a time.
#ifndef FESCUEVANE_BENCH_POLICY_SERVICE_HPP
#define FESCUEVANE_BENCH_POLICY_SERVICE_HPP

#include "bench/policy_question.hpp"
#include "core/advice_policy.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace fescuevane::bench
{

class policy_service
{
public:
    policy_service(std::uint64_t seed, std::uint32_t hosts,
                   advice_policy const& policy);

    void ask(std::uint32_t shard, plan::advice_request const& request,
             instant now);

    // Answered by now, in the order of their answers
    std::vector<policy_question> take_answered(instant now);
    void                         drop_questions(); // all hosts have stopped

    std::uint64_t answered() const { return answered_; }
    std::size_t   in_flight() const { return questions_.size(); }

private:
    std::uint32_t choose_host(std::uint32_t shard);
    std::int64_t  draw_micros(std::size_t targets);

    std::mt19937_64                         random_;
    advice_policy const                     policy_;
    std::vector<instant>                    free_at_;   // by host
    std::multimap<instant, policy_question> questions_; // by time of answer
    std::uint64_t                           answered_ = 0;
};

} // namespace fescuevane::bench

#endif

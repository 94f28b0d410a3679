// Purpose: a question of a shard's owner to the policy service.
#ifndef FESCUEVANE_BENCH_POLICY_QUESTION_HPP
#define FESCUEVANE_BENCH_POLICY_QUESTION_HPP

#include "plan/advice_request.hpp"

#include <cstdint>

namespace fescuevane::bench
{

struct policy_question
{
    std::uint32_t const        shard_ = 0;
    std::uint32_t const        host_ = 0; // that asks for the owner
    plan::advice_request const request_;

    friend bool operator==(policy_question const&,
                           policy_question const&) = default;
};

} // namespace fescuevane::bench

#endif

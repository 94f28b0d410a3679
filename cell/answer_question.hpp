// Purpose: command: reply to a request that this host sent to the policy
// service for another one.
#ifndef FESCUEVANE_CELL_ANSWER_QUESTION_HPP
#define FESCUEVANE_CELL_ANSWER_QUESTION_HPP

#include "cell/advice_reply.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct answer_question
{
    std::uint64_t const call_ = 0;
    advice_reply const  reply_;

    friend bool operator==(answer_question const&,
                           answer_question const&) = default;
};

} // namespace fescuevane::cell

#endif

// Purpose: command: send the reply to a client call.
#ifndef FESCUEVANE_CELL_ANSWER_CALL_HPP
#define FESCUEVANE_CELL_ANSWER_CALL_HPP

#include "cell/job_answer.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct answer_call
{
    std::uint64_t const call_ = 0;
    job_answer const    answer_;

    friend bool operator==(answer_call const&, answer_call const&) = default;
};

} // namespace fescuevane::cell

#endif

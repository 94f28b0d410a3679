// Purpose: event: another host asks this one to send a request to the policy
// service.
#ifndef FESCUEVANE_CELL_QUESTION_RECEIVED_HPP
#define FESCUEVANE_CELL_QUESTION_RECEIVED_HPP

#include "cell/send_question.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct question_received
{
    std::uint64_t const call_ = 0; // not 0
    send_question const question_;

    friend bool operator==(question_received const&,
                           question_received const&) = default;
};

} // namespace fescuevane::cell

#endif

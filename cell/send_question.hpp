// Purpose: command: request advice from the policy service.
#ifndef FESCUEVANE_CELL_SEND_QUESTION_HPP
#define FESCUEVANE_CELL_SEND_QUESTION_HPP

#include "core/instant.hpp"
#include "plan/advice_request.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct send_question
{
    std::uint64_t const        request_ = 0;
    plan::advice_request const question_;
    std::string const address_; // of the advice proxy, empty: this host
    instant const     deadline_;
    // Expected time of the service, 0: unknown, from a process of an earlier
    // version.
    std::int64_t const service_micros_ = 0;

    friend bool operator==(send_question const&,
                           send_question const&) = default;
};

} // namespace fescuevane::cell

#endif

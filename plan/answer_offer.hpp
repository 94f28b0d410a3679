// Purpose: command: reply how many tasks of an offered job could run here.
#ifndef FESCUEVANE_PLAN_ANSWER_OFFER_HPP
#define FESCUEVANE_PLAN_ANSWER_OFFER_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct answer_offer
{
    job_id const        id_;
    std::uint32_t const fit_now_ = 0;   // room now, and tickets where needed
    std::uint32_t const fit_later_ = 0; // room once other work has ended
    std::uint32_t const fit_free_ = 0;  // room now, with or without tickets
    std::uint32_t const unknown_ = 0;   // targets that may be allowed, or not

    friend bool operator==(answer_offer const&, answer_offer const&) = default;
};

} // namespace fescuevane::plan

#endif

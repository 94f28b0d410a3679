// Purpose: one job of the soak's clients.
#ifndef FESCUEVANE_TESTS_SOAK_JOB_ROW_HPP
#define FESCUEVANE_TESTS_SOAK_JOB_ROW_HPP

#include "core/instant.hpp"

#include <string>

namespace fescuevane::soak
{

enum class job_phase
{
    sending, // until the first acceptance
    accepted,
    ended,    // shown as completed, failed or cancelled
    given_up, // never accepted
};

struct job_row
{
    std::string id_;
    job_phase   phase_ = job_phase::sending;
    int         tries_ = 0;
    bool        in_flight_ = false;
    bool        canceled_ = false;  // the cancel was acknowledged
    bool        confirmed_ = false; // asked for after the traffic
    instant     next_call_at_;
    instant     cancel_at_ = instant::never();
    instant     send_again_at_ = instant::never(); // after its acceptance
    instant     ended_at_;
};

} // namespace fescuevane::soak

#endif

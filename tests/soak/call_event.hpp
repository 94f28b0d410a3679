// Purpose: one call of a client and its answer.
#ifndef FESCUEVANE_TESTS_SOAK_CALL_EVENT_HPP
#define FESCUEVANE_TESTS_SOAK_CALL_EVENT_HPP

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

enum class call_kind
{
    submit,
    look_up,
    cancel,
    probe, // of the route that version `version_` of the configuration adds
};

struct call_event
{
    std::int64_t const began_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const ended_ = 0;
    call_kind const    kind_ = call_kind::look_up;
    std::string const  host_;
    int const          life_ = 0; // of the host's process
    std::string const  job_;
    unsigned const     status_ = 0; // 0: no answer
    std::string const  state_;      // of a look-up that was answered
    std::int64_t const version_ = 0;
    bool const         final_ = false; // after the faults and the traffic

    friend bool operator==(call_event const&, call_event const&) = default;
};

std::string format_call(call_event const& call);

} // namespace fescuevane::soak

#endif

// Purpose: one call of a caller, from invocation to completion.
#ifndef FESCUEVANE_TESTS_PROVE_CALL_EVENT_HPP
#define FESCUEVANE_TESTS_PROVE_CALL_EVENT_HPP

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

enum class call_action : std::uint8_t
{
    submit,
    look_up,
    cancel
};

// How the HTTP exchange ended.
enum class call_end : std::uint8_t
{
    replied,
    refused,   // no connection was made
    broken,    // the connection ended without a reply
    timed_out, // given up by the caller
    open       // no completion was seen
};

struct call_event
{
    std::int64_t const number_ = 0;
    std::int64_t const began_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const ended_ = 0;
    call_action const  action_ = call_action::submit;
    std::string const  entry_; // process that got the call
    std::int64_t const incarnation_ = 0;
    std::string const  team_;
    std::string const  key_;
    bool const         open_service_ = false; // needs no key
    bool const         durable_ = false;      // written before it is dispatched
    std::string const  asked_id_;             // empty: assigned by the process
    std::string const  expected_;            // answer that the payload asks for
    bool const         checks_body_ = false; // one task with a known answer
    call_end const     end_ = call_end::replied;
    std::int64_t const completions_ = 1;
    unsigned const     status_ = 0;
    std::string const  id_; // of the reply
    std::string const  reply_team_;
    std::string const  state_;
    std::string const  outcome_;
    std::string const  reason_;
    std::string const  body_;

    friend bool operator==(call_event const&, call_event const&) = default;
};

// One line for reports; long bodies are cut.
std::string format_call(call_event const& call);

} // namespace fescuevane::prove

#endif

// Purpose: one end of an entry process that no fault caused.
#ifndef FESCUEVANE_TESTS_PROVE_STOP_EVENT_HPP
#define FESCUEVANE_TESTS_PROVE_STOP_EVENT_HPP

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct stop_event
{
    std::int64_t const began_ = 0; // SIGTERM, or the end
    std::int64_t const ended_ = 0;
    std::string const  entry_;
    std::int64_t const incarnation_ = 0;
    int const          exit_code_ = 0;  // below 0: ended by a signal
    bool const         planned_ = true; // false: it ended by itself

    friend bool operator==(stop_event const&, stop_event const&) = default;
};

} // namespace fescuevane::prove

#endif

// Purpose: one ticket as its operator filed it.
#ifndef FESCUEVANE_TESTS_PROVE_FILED_TICKET_HPP
#define FESCUEVANE_TESTS_PROVE_FILED_TICKET_HPP

#include "tests/prove/ticket_event.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct filed_ticket
{
    std::string const  author_; // unique, tells racing tickets apart
    ticket_event const change_;
    std::string        stage_; // last one seen; empty: no reply yet
    std::int64_t       accepted_ = -1;
};

} // namespace fescuevane::prove

#endif

// Purpose: one ticket filed by an operator.
#ifndef FESCUEVANE_TESTS_PROVE_TICKET_EVENT_HPP
#define FESCUEVANE_TESTS_PROVE_TICKET_EVENT_HPP

#include "core/resources.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fescuevane::prove
{

// Only what the ticket touches.
struct ticket_event
{
    std::int64_t const                     number_ = 0;
    std::int64_t const                     began_ = 0;
    std::int64_t const                     accepted_ = -1; // first seen; or -1
    std::map<std::string, resources> const limits_;        // by team
    std::map<std::string, std::set<std::string>> const keys_; // by team
    std::map<std::string, bool> const domains_; // true: in service

    friend bool operator==(ticket_event const&, ticket_event const&) = default;
};

} // namespace fescuevane::prove

#endif

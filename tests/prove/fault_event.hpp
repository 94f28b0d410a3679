// Purpose: one fault, from its start to its end.
#ifndef FESCUEVANE_TESTS_PROVE_FAULT_EVENT_HPP
#define FESCUEVANE_TESTS_PROVE_FAULT_EVENT_HPP

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct fault_event
{
    std::int64_t const began_ = 0;
    std::int64_t const ended_ = 0;
    std::string const  kind_;
    std::string const  subject_; // entry process, domain, target or "store"

    friend bool operator==(fault_event const&, fault_event const&) = default;
};

} // namespace fescuevane::prove

#endif

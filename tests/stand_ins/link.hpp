// Purpose: one relayed TCP link.
#ifndef FESCUEVANE_TESTS_STAND_INS_LINK_HPP
#define FESCUEVANE_TESTS_STAND_INS_LINK_HPP

#include <string>

namespace fescuevane::stand_ins
{

struct link
{
    std::string const name_;
    std::string const listen_;  // IP and port
    std::string const forward_; // IP and port
    std::string const group_;   // links that are cut and delayed together
    // IP from which the far side is called; empty: any
    std::string const source_;

    friend bool operator==(link const&, link const&) = default;
};

} // namespace fescuevane::stand_ins

#endif

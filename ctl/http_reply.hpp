// Purpose: the end of one call of the HTTP API.
#ifndef FESCUEVANE_CTL_HTTP_REPLY_HPP
#define FESCUEVANE_CTL_HTTP_REPLY_HPP

#include <string>

namespace fescuevane::ctl
{

enum class call_fault
{
    none,
    no_connection, // refused or unreachable: the server got nothing
    lost,          // the connection ended before the reply was complete
    timed_out
};

struct http_reply
{
    call_fault const  fault_ = call_fault::none;
    unsigned const    status_ = 0; // when there is no fault
    std::string const body_;       // when there is no fault
    std::string const message_;    // of the fault

    friend bool operator==(http_reply const&, http_reply const&) = default;
};

} // namespace fescuevane::ctl

#endif

// Purpose: a response of the HTTP client.
#ifndef FESCUEVANE_IO_HTTP_RESPONSE_HPP
#define FESCUEVANE_IO_HTTP_RESPONSE_HPP

#include <string>

namespace fescuevane::io
{

// Status 0: there is none, and `error_` says why.
struct http_response
{
    unsigned    status_ = 0;
    std::string body_;
    std::string error_;

    friend bool operator==(http_response const&,
                           http_response const&) = default;
};

} // namespace fescuevane::io

#endif
